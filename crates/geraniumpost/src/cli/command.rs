use clap::{Arg, ArgAction, Command, value_parser};

/// Examples at the end of the help, where a person looks first.
const EXAMPLES: &str = "\
Examples:
  geraniumpost check entry.toml agent.toml document.json
  geraniumpost entry --settings entry.toml
  geraniumpost config get --entry 10.20.0.4:7001 --token-file token > document.json
  geraniumpost config set document.json --entry 10.20.0.4:7001 --token-file token
  geraniumpost job submit study-7 --customer claro --class study \\
      --milli-cpus 4000 --memory-mb 16000 --command 'coordinate auction-12'
  geraniumpost explain study-7

Exit codes:
  0 done, 1 refused or failed, 2 wrong usage, 3 others changed the configuration first,
  4 the entry did not answer or the outcome is not known

Environment:
  GERANIUMPOST_ENTRY  IP:port of an entry's console, instead of --entry
  GERANIUMPOST_TOKEN  operator's token, instead of --token-file";

/// Returns the definition of the command line.
///
/// # Example
///
/// ```
/// let matches = geraniumpost::cli::command()
///     .try_get_matches_from(["geraniumpost", "check", "entry.toml"])
///     .unwrap();
/// assert_eq!(matches.subcommand_name(), Some("check"));
/// ```
pub fn command() -> Command {
    Command::new("geraniumpost")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Schedules latency-critical requests and batch jobs that share VMs")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON for programs instead of text for people"),
        )
        .subcommand(role("entry", "Run an entry: callers' HTTP, routing, console"))
        .subcommand(role("agent", "Run the agent beside an endpoint"))
        .subcommand(
            Command::new("job-entry")
                .about("Run an entry for jobs of many steps, with settings from the platform"),
        )
        .subcommand(
            Command::new("job-agent")
                .about("Run the agent beside a minion, with settings from the platform"),
        )
        .subcommand(check())
        .subcommand(config())
        .subcommand(job())
        .subcommand(remote(Command::new("status").about("Show an entry and what it knows")))
        .subcommand(remote(
            Command::new("explain").about("Tell why a job is where it is").arg(job_id()),
        ))
}

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings in TOML, see docs/SETTINGS.md"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only check the settings and report every problem"),
        )
}

fn check() -> Command {
    let files = Arg::new("files").value_name("FILE").required(true).num_args(1..);
    Command::new("check")
        .about("Check settings and documents, and that they agree")
        .arg(files.help("Settings in TOML or a document in JSON; told apart by their content"))
}

fn config() -> Command {
    let get = Command::new("get").about("Print the configuration with its revision");
    let set = Command::new("set")
        .about("Change the configuration")
        .after_help(
            "FILE is what `config get` printed, edited, so that it names the revision it changes;\n\
             a bare document needs --revision. Repeat a call whose outcome is not known with the\n\
             same --change-id: a change is never made twice.",
        )
        .arg(file())
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_parser(value_parser!(u64))
                .help("Revision that is changed, if FILE does not name it"),
        )
        .arg(Arg::new("change-id").long("change-id").help("Name of the change, drawn if left out"))
        .arg(
            Arg::new("wait-s")
                .long("wait-s")
                .value_parser(value_parser!(u64).range(1..=600))
                .conflicts_with("first")
                .help("Seconds to wait until every known process has the change in force"),
        )
        .arg(
            Arg::new("first")
                .long("first")
                .value_name("SETTINGS")
                .help("Write the first document, proved by the shared key of an entry's settings"),
        );
    let check = Command::new("check").about("Let an entry check a document").arg(file());
    Command::new("config")
        .about("Read, change and check the configuration")
        .subcommand_required(true)
        .subcommand(remote(get))
        .subcommand(remote(set))
        .subcommand(remote(check))
}

fn job() -> Command {
    let submit = Command::new("submit")
        .about("Submit a job; the same job under the same id again is no second one")
        .arg(job_id())
        .arg(Arg::new("customer").long("customer").required(true).help("Customer it runs for"))
        .arg(Arg::new("class").long("class").required(true).help("Job class of the document"))
        .arg(amount("milli-cpus", "Thousandths of a processor").required(true))
        .arg(amount("memory-mb", "Mebibytes of memory").required(true))
        .arg(amount("accelerators", "Whole accelerators").default_value("0"))
        .arg(Arg::new("command").long("command").required(true).help("What the worker runs"));
    Command::new("job")
        .about("Submit, show, cancel and list jobs")
        .subcommand_required(true)
        .subcommand(remote(submit))
        .subcommand(remote(Command::new("status").about("Show a job").arg(job_id())))
        .subcommand(remote(Command::new("cancel").about("Cancel a job").arg(job_id())))
        .subcommand(remote(Command::new("list").about("List the region's jobs")))
}

/// Adds the arguments of a command that calls an entry.
fn remote(command: Command) -> Command {
    command
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .help("Console address of any entry"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .help("File that holds the operator's token"),
        )
        .arg(
            Arg::new("timeout-s")
                .long("timeout-s")
                .value_parser(value_parser!(u64).range(1..=600))
                .default_value("20")
                .help("Seconds to wait for the answer"),
        )
}

fn file() -> Arg {
    Arg::new("file").value_name("FILE").required(true).help("Document in JSON")
}

fn job_id() -> Arg {
    Arg::new("job").value_name("JOB").required(true).help("Id of the job")
}

fn amount(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_parser(value_parser!(u64)).help(help)
}
