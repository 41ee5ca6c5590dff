//! Runs one stand-in as a process of its own.

#[tokio::main]
async fn main() -> eyre::Result<()> {
    geraniumpost_standin::cli::run().await
}
