use serde::{Serialize, Serializer};

/// Defines the codes together with their meanings and remedies, so that the table in
/// `docs/RESULT_CODES.md`, which is generated from them, lists exactly the codes of the program.
macro_rules! codes {
    ($($name:ident = $number:literal, $meaning:literal, $remedy:literal;)*) => {
        /// Numbered kind of a problem in settings or in the configuration document.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns one sentence that says what is wrong.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns one sentence that says what to do.
            pub const fn remedy(self) -> &'static str {
                match self { $(Self::$name => $remedy,)* }
            }
        }
    };
}

codes! {
    Unreadable = 1001, "The file cannot be read.", "Check the path and the file's permissions.";
    Syntax = 1002, "The text is not valid TOML or JSON.", "Mend the line that is named.";
    UnknownKey = 1003, "A key is not known.", "Use the key that is suggested, or remove it.";
    MissingKey = 1004, "A required key is missing.", "Add the key.";
    WrongType = 1005, "A value has the wrong type.", "Write a value of the type that is named.";
    WrongUnit = 1006, "A value carries a unit.", "Write a plain number in the key's own unit.";
    OutOfRange = 1007, "A number or a list is out of range.", "Stay within the range that is named.";
    NotALabel = 1008, "A name is no label.",
        "Use 1 to 63 lower-case letters, digits, dots, dashes and underscores.";
    NotAnAddress = 1009, "An address is not IP:port.", "Write an IP number and a port, no host name.";
    NotADigest = 1010, "A token hash is not a SHA-256 digest.",
        "Write the 64 lower-case hexadecimal digits of the token's SHA-256.";
    NotAChoice = 1011, "A value is none of the choices.", "Use one of the choices that are listed.";
    TooShort = 1012, "A secret is too short.", "Use 16 characters or more.";
    DuplicateAddress = 1013, "Two keys name one address.", "Give each listener its own address.";
    IncompleteMinion = 1014, "A service and a minion's address go together.",
        "Set both `service` and `minion`, or neither.";
    NoMinionOrWorker = 1015, "An agent has neither minion nor worker.", "Set `minion`, `worker` or both.";
    WorkerWithoutCapacity = 1016, "A worker has no processors or no memory.",
        "Set `milli_cpus` and `memory_mb` to the size of the VM.";
    UnusableAddress = 1017, "An address cannot be told to others.",
        "Write the VM's own IP number and a port other than 0.";
    PeerIsSelf = 1018, "An entry names itself as its peer.", "Remove its own address from `peers`.";
    ReserveTooLarge = 1101, "A reserve is larger than any VM.", "Check the unit of the value.";
    QuotaAdmitsNoJob = 1102, "A quota admits no job at all.",
        "Allow processors and memory, or set both to 0 for no batch work.";
    QuotaTooLarge = 1103, "A quota is larger than any deployment.", "Check the unit of the value.";
    TokenReused = 1104, "Two customers or operators share a token.", "Give each a token of its own.";
    NoOperator = 1105, "The document has no operator.",
        "Keep at least one operator, or nobody can change the document again.";
    NoDomain = 1106, "The document has no failure domain.", "Name the failure domains.";
    TargetOverDeadline = 1107, "A latency target is later than the deadline.",
        "Make `target_p99_ms` at most `deadline_ms`.";
    SlotsOverConnections = 1108, "A service has more slots than connections.",
        "Make `slots` at most `connections`; each running request holds one.";
    EmptyToken = 1109, "A token hash is that of the empty text.", "Draw a token and write its hash.";
    OutageHoldTooShort = 1110, "The outage hold is shorter than the ordinary hold.",
        "Make `outage_hold_s` longer than `hold_ms`, or 0.";
    TooLarge = 1111, "The document is too large for the store.", "Remove what is not needed.";
    DomainUnknown = 1201, "The document does not know the failure domain.",
        "Add the domain to the document or correct the setting.";
    RegionMismatch = 1202, "The document puts the failure domain in another region.",
        "Correct `region` in the settings or in the document.";
    ServiceUnknown = 1203, "The document does not know the service.",
        "Add the service to the document or correct the setting.";
    ReserveExceedsVm = 1204, "A service's reserve is larger than the VM.",
        "Lower the reserve or correct the VM's size.";
}

impl Code {
    /// Returns the number under which the code is documented.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl Serialize for Code {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}
