//! Runs one stand-in as a separate process.

#[tokio::main]
async fn main() -> eyre::Result<()> {
    geraniumpost_standin::cli::run().await
}
