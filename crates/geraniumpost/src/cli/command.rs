use clap::{Arg, ArgAction, Command, value_parser};
use geraniumpost_batch::Feature;

/// Examples, exit codes and environment variables, printed at the end of the help.
const AFTER_HELP: &str = "\
Examples:
  geraniumpost check entry.toml agent.toml document.json
  geraniumpost entry --settings entry.toml
  geraniumpost config get --entry 10.20.0.4:7001 --token-file token > document.json
  geraniumpost config set document.json --entry 10.20.0.4:7001 --token-file token
  geraniumpost job submit study-7 --customer claro --class study \\
      --milli-cpus 4000 --memory-mb 16000 --command 'coordinate auction-12'
  geraniumpost explain study-7

Exit codes:
  0 success
  1 refused or failed
  2 invalid command line
  3 another operator changed the configuration first
  4 the entry did not answer, or the outcome is unknown

Environment:
  GERANIUMPOST_ENTRY  console address of an entry as IP:PORT, if --entry is not given
  GERANIUMPOST_TOKEN  operator's token, if --token-file is not given";

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
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Print JSON instead of text"),
        )
        .subcommand(role(
            "entry",
            "Run an entry, which routes callers' requests and serves the console",
        ))
        .subcommand(role("agent", "Run the agent beside an endpoint"))
        .subcommand(
            Command::new("job-entry")
                .about("Run an entry for jobs of many steps; the platform provides its settings")
                .arg(
                    Arg::new("enable")
                        .long("enable")
                        .value_name("FEATURE")
                        .action(ArgAction::Append)
                        .value_delimiter(',')
                        .value_parser(value_parser!(Feature))
                        .help(
                            "Make optional decisions: admission, shares, disturbance-budget, \
                             stragglers; see docs/SETTINGS.md",
                        ),
                ),
        )
        .subcommand(
            Command::new("job-agent")
                .about("Run the agent beside a minion; the platform provides its settings"),
        )
        .subcommand(check())
        .subcommand(config())
        .subcommand(job())
        .subcommand(remote(
            Command::new("status").about("Show an entry's state and the processes it knows"),
        ))
        .subcommand(remote(
            Command::new("explain")
                .about("Explain why a job waits, runs or has ended")
                .arg(job_id()),
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
                .help("Settings file in TOML, see docs/SETTINGS.md"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, report every problem and exit"),
        )
}

fn check() -> Command {
    let files = Arg::new("files").value_name("FILE").required(true).num_args(1..);
    Command::new("check")
        .about("Check settings files and documents, and report contradictions between them")
        .arg(files.help("Settings file in TOML or document in JSON, recognized by its content"))
}

fn config() -> Command {
    let get = Command::new("get").about("Print the configuration and its revision as JSON");
    let set = Command::new("set")
        .about("Change the configuration")
        .after_help(
            "FILE is the edited output of `config get`, which contains the revision to change.\n\
             A document alone needs --revision. If the outcome of a call is unknown, repeat it\n\
             with the same --change-id: the change is made at most once.",
        )
        .arg(file())
        .arg(
            Arg::new("revision")
                .long("revision")
                .value_parser(value_parser!(u64))
                .help("Revision to change, if FILE does not contain it"),
        )
        .arg(Arg::new("change-id").long("change-id").help("Id of the change, random by default"))
        .arg(
            Arg::new("wait-s")
                .long("wait-s")
                .value_parser(value_parser!(u64).range(1..=600))
                .conflicts_with("first")
                .help(
                    "Maximum seconds to wait until the change is in force on every known process",
                ),
        )
        .arg(
            Arg::new("first").long("first").value_name("SETTINGS").help(
                "Write the first document, authorized by the shared key in an entry's settings",
            ),
        );
    let check = Command::new("check").about("Check a document on an entry").arg(file());
    Command::new("config")
        .about("Read, change and check the configuration")
        .subcommand_required(true)
        .subcommand(remote(get))
        .subcommand(remote(set))
        .subcommand(remote(check))
}

fn job() -> Command {
    let submit = Command::new("submit")
        .about("Submit a job; repeating the call with the same id and job has no effect")
        .arg(job_id())
        .arg(
            Arg::new("customer").long("customer").required(true).help("Customer that owns the job"),
        )
        .arg(
            Arg::new("class")
                .long("class")
                .required(true)
                .help("Class of the job, as in the document"),
        )
        .arg(amount("milli-cpus", "Processors to reserve, in thousandths of one").required(true))
        .arg(amount("memory-mb", "Memory to reserve, in mebibytes").required(true))
        .arg(amount("accelerators", "Number of accelerators to reserve").default_value("0"))
        .arg(
            Arg::new("command").long("command").required(true).help("Command that the worker runs"),
        );
    Command::new("job")
        .about("Submit, show, cancel or list jobs")
        .subcommand_required(true)
        .subcommand(remote(submit))
        .subcommand(remote(Command::new("status").about("Show a job").arg(job_id())))
        .subcommand(remote(Command::new("cancel").about("Cancel a job").arg(job_id())))
        .subcommand(remote(Command::new("list").about("List the jobs of the region")))
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
                .help("File that contains the operator's token"),
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
