//! Development tasks of the repository: `cargo xtask help` lists them.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::Result;
use xtask::{cargo, codegen, known_red};

fn main() -> Result<()> {
    let matches = cli().get_matches();
    match matches.subcommand() {
        Some(("codegen", m)) => codegen::run(&root(), m.get_flag("check")),
        Some(("test", m)) => known_red::test(&root(), &rest(m)),
        Some((known_red::RUNNER, m)) => known_red::run_binary(&rest(m)),
        Some((task, m)) => cargo::bench_tool(&root(), task, &rest(m)),
        None => Ok(()),
    }
}

/// Builds the command line.
fn cli() -> Command {
    Command::new("xtask")
        .about("Development tasks of the geraniumpost repository")
        .subcommand_required(true)
        .subcommand(
            Command::new("codegen").about("Regenerate the schema crate's types").arg(
                Arg::new("check")
                    .long("check")
                    .action(ArgAction::SetTrue)
                    .help("Only fail if the committed code differs"),
            ),
        )
        .subcommand(passthrough("test", "Run all tests; further arguments go to `cargo test`"))
        .subcommand(passthrough(known_red::RUNNER, "Run one test binary for `test`").hide(true))
        .subcommand(passthrough(
            "demo",
            "Run the whole system once on loopback, or keep it running",
        ))
        .subcommand(passthrough("bench", "Measure: `bench --help` lists the benches"))
        .subcommand(passthrough("soak", "Run random failures against real processes"))
}

/// Builds a subcommand whose arguments are passed on unchanged.
fn passthrough(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .disable_help_flag(true)
        .arg(Arg::new("rest").num_args(0..).trailing_var_arg(true).allow_hyphen_values(true))
}

/// Returns the arguments to pass on.
fn rest(m: &ArgMatches) -> Vec<String> {
    m.get_many::<String>("rest").unwrap_or_default().cloned().collect()
}

/// Returns the workspace's root folder.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(1).unwrap_or(Path::new(".")).to_owned()
}
