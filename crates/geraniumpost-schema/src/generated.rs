/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Head of a configuration, which the receiver adopts if it is newer; the document follows as JSON.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Adopt {
    pub revision: u64,
}
///Settings of `geraniumpost agent`.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    ///Accelerators of the VM.
    #[serde(default)]
    pub accelerators: u32,
    ///Where entries reach `listen`, as IP:port, if addresses are translated on the way.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub announce: ::std::option::Option<::std::net::SocketAddr>,
    ///Failure domain this process runs in.
    pub domain: crate::Name,
    ///Longest time a planned stop waits for requests in flight.
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub drain_ms: u64,
    ///UDP addresses of some entries, as IP:port.
    pub entries: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Interval between announcements.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub heartbeat_ms: u64,
    ///Where entries connect, as IP:port.
    pub listen: ::std::net::SocketAddr,
    ///Logging.
    #[serde(default = "defaults::agent_settings_log")]
    pub log: LogSettings,
    ///Memory of the VM in mebibytes.
    #[serde(default)]
    pub memory_mb: u64,
    ///Where metrics are served by HTTP, as IP:port; not served if left out.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub metrics: ::std::option::Option<::std::net::SocketAddr>,
    ///Processors of the VM in thousandths.
    #[serde(default)]
    pub milli_cpus: u64,
    ///HTTP address of the minion, as IP:port; left out if there is none.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub minion: ::std::option::Option<::std::net::SocketAddr>,
    ///Name of this process, unique among agents.
    pub name: crate::Name,
    ///Rack the VM stands in.
    pub rack: crate::Name,
    ///Region this process runs in.
    pub region: crate::Name,
    ///Service of the minion beside this agent; left out if there is none.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<crate::Name>,
    ///Key that all processes of the deployment share, 16 characters or more.
    pub shared_key: ::std::string::String,
    ///HTTP address of the worker's task interface, as IP:port; left out if there is none.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub worker: ::std::option::Option<::std::net::SocketAddr>,
}
///Whether an agent accepts new work.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum AgentState {
    Ready,
    Draining,
}
impl ::std::fmt::Display for AgentState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Ready => f.write_str("Ready"),
            Self::Draining => f.write_str("Draining"),
        }
    }
}
impl ::std::str::FromStr for AgentState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "Ready" => Ok(Self::Ready),
            "Draining" => Ok(Self::Draining),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AgentState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AgentState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AgentState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Final result of one attempt, from its agent; the body follows in the frame.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AnswerHead {
    pub headers: ::std::vec::Vec<HeaderField>,
    pub id: RequestId,
    pub load: Load,
    pub outcome: Outcome,
    ///Milliseconds after which to retry, 0 if unknown.
    pub retry_after_ms: u64,
    ///HTTP status of the minion's response, 0 if there is none.
    pub status: u16,
}
///Question about an attempt. If the attempt has not started, the agent will no longer start it.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    pub id: RequestId,
    ///Incarnation of the agent to which the attempt was sent.
    pub incarnation: u64,
}
///Question by idempotency key; the response is that of the original attempt.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AskKey {
    pub deadline_ms: u64,
    ///Identity of the repeated request.
    pub id: RequestId,
    pub incarnation: u64,
    pub key: crate::Name,
}
///State of an attempt, as its agent reports it on request.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum AskVerdict {
    NeverStarted,
    Running,
    Finished,
    Unknown,
}
impl ::std::fmt::Display for AskVerdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NeverStarted => f.write_str("NeverStarted"),
            Self::Running => f.write_str("Running"),
            Self::Finished => f.write_str("Finished"),
            Self::Unknown => f.write_str("Unknown"),
        }
    }
}
impl ::std::str::FromStr for AskVerdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "NeverStarted" => Ok(Self::NeverStarted),
            "Running" => Ok(Self::Running),
            "Finished" => Ok(Self::Finished),
            "Unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for AskVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for AskVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for AskVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Second frame on a link, with the proof of the accepting side.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Challenge {
    pub incarnation: u64,
    pub name: crate::Name,
    pub nonce: u64,
    ///Hexadecimal HMAC-SHA256 over names, incarnations and nonces of both sides.
    pub proof: crate::Name,
}
///A customer with its token, its share of the capacity, and its limits.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    ///Requests of this customer an entry carries at once.
    #[serde(default = "defaults::default_u64::<u32, 256>")]
    pub max_in_flight: u32,
    ///Most batch resources the customer's tasks hold at once.
    #[serde(default = "defaults::customer_quota")]
    pub quota: Quota,
    ///SHA-256 of the customer's bearer token, as 64 hexadecimal digits.
    pub token_sha256: crate::Name,
    ///Share of slots and batch capacity relative to the other customers.
    #[serde(default = "defaults::default_u64::<u32, 1>")]
    pub weight: u32,
}
///All messages that are sent by UDP.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Datagram {
    ///From an agent to an entry.
    Heartbeat(Heartbeat),
    ///From an entry to an agent.
    HeartbeatAck(HeartbeatAck),
    ///Between entries.
    EntryBeat(EntryBeat),
}
impl ::std::convert::From<Heartbeat> for Datagram {
    fn from(value: Heartbeat) -> Self {
        Self::Heartbeat(value)
    }
}
impl ::std::convert::From<HeartbeatAck> for Datagram {
    fn from(value: HeartbeatAck) -> Self {
        Self::HeartbeatAck(value)
    }
}
impl ::std::convert::From<EntryBeat> for Datagram {
    fn from(value: EntryBeat) -> Self {
        Self::EntryBeat(value)
    }
}
///The configuration document, which operators change and all processes apply.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Document {
    ///Job classes by name.
    pub classes: ::std::collections::BTreeMap<crate::Name, JobClass>,
    ///Customers by name.
    pub customers: ::std::collections::BTreeMap<crate::Name, Customer>,
    ///Failure domains by name.
    pub domains: ::std::collections::BTreeMap<crate::Name, Domain>,
    ///Operators by name.
    pub operators: ::std::collections::BTreeMap<crate::Name, Operator>,
    ///Parameters of scheduling.
    #[serde(default = "defaults::document_policy")]
    pub policy: Policy,
    ///Services by name; a caller's path starts with the service's name.
    pub services: ::std::collections::BTreeMap<crate::Name, Service>,
}
///A failure domain.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    ///Whether the domain is evacuated: no request is sent to its minions and no job is started there; what runs there continues.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub evacuated: ::std::option::Option<bool>,
    ///Region the domain lies in.
    pub region: crate::Name,
}
///Periodic announcement of an entry to the other entries.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryBeat {
    ///Revision in force on the entry.
    pub config_revision: u64,
    pub draining: bool,
    pub incarnation: u64,
    pub peer: EntryPeer,
    ///Known entries; empty if this entry has sent them recently.
    pub peers: ::std::vec::Vec<EntryPeer>,
    pub sequence: u64,
    ///Whether the entry's last store call succeeded.
    pub store_up: bool,
    ///Term of the planner, if the entry is the planner of its region, else 0.
    pub term: u64,
}
///Addresses of an entry.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntryPeer {
    ///HTTP address of the console and operators' API as IP:port.
    pub console: crate::Name,
    ///UDP address as IP:port.
    pub datagrams: crate::Name,
    pub name: crate::Name,
    pub region: crate::Name,
}
///Settings of `geraniumpost entry`.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    ///Where callers' HTTP is accepted, as IP:port.
    pub callers: ::std::net::SocketAddr,
    ///Where the console and the operators' API are served, as IP:port.
    pub console: ::std::net::SocketAddr,
    ///Where heartbeats arrive by UDP, as IP:port.
    pub datagrams: ::std::net::SocketAddr,
    ///Failure domain this process runs in.
    pub domain: crate::Name,
    ///Longest time a planned stop waits for requests in flight.
    #[serde(default = "defaults::default_u64::<u64, 30000>")]
    pub drain_ms: u64,
    ///Interval at which agents are expected to announce themselves.
    #[serde(default = "defaults::default_u64::<u64, 500>")]
    pub heartbeat_ms: u64,
    ///Logging.
    #[serde(default = "defaults::entry_settings_log")]
    pub log: LogSettings,
    ///Name of this process, unique among entries.
    pub name: crate::Name,
    ///UDP addresses of other entries, as IP:port.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub peers: ::std::vec::Vec<::std::net::SocketAddr>,
    ///Region this process runs in.
    pub region: crate::Name,
    ///Key that all processes of the deployment share, 16 characters or more.
    pub shared_key: ::std::string::String,
    ///Address of the platform's key-value service, as IP:port.
    pub store: ::std::net::SocketAddr,
}
///One HTTP header.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeaderField {
    pub name: ::std::string::String,
    pub value: ::std::string::String,
}
///Periodic announcement of an agent to an entry; see docs/design/0002-membership.md.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    ///TCP address of the agent as IP:port.
    pub address: crate::Name,
    ///Name of the agent.
    pub agent: crate::Name,
    pub capacity: Resources,
    ///Revision in force on the agent.
    pub config_revision: u64,
    ///Failure domain.
    pub domain: crate::Name,
    ///Digest of the agent's list of entries.
    pub entries_digest: u64,
    pub has_worker: bool,
    ///Random number drawn at each start of the agent.
    pub incarnation: u64,
    pub load: Load,
    pub rack: crate::Name,
    pub region: crate::Name,
    ///Resources reserved in the ledger of the agent.
    pub reserved: Resources,
    ///Sequence number of this heartbeat within the incarnation.
    pub sequence: u64,
    ///Service of the minion on the agent's VM, empty if there is none.
    pub service: crate::Name,
    ///Number of requests that the minion may run concurrently.
    pub slots: u32,
    pub state: AgentState,
    ///Number of tasks that are running or being started.
    pub tasks: u32,
    ///Highest planner term that the agent has accepted.
    pub term: u64,
}
///Acknowledgement of a heartbeat by an entry.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatAck {
    ///Revision in force on the entry.
    pub config_revision: u64,
    ///List of entries, empty if the digests are equal.
    pub entries: ::std::vec::Vec<EntryPeer>,
    ///Digest of the entry's list of entries.
    pub entries_digest: u64,
    pub entry: crate::Name,
    ///Duration of the agent lease in milliseconds, from the sending of the heartbeat; 0 unless the entry is the planner.
    pub hold_ms: u64,
    ///Incarnation in the acknowledged heartbeat.
    pub incarnation: u64,
    ///Sequence number of the acknowledged heartbeat.
    pub sequence: u64,
    ///Term of the planner, if this entry is the planner of the agent's region, else 0.
    pub term: u64,
}
///First frame on a link, from the connecting side.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    pub incarnation: u64,
    pub name: crate::Name,
    ///Random number that the proof of the accepting side must cover.
    pub nonce: u64,
}
///All runs that an agent knows, sent at the start of a link and on request.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    pub incarnation: u64,
    pub tasks: ::std::vec::Vec<TaskReport>,
    pub term: u64,
}
///Behaviour that a class of batch jobs shares.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    ///Whether tasks may be checkpointed and moved.
    #[serde(default = "defaults::default_bool::<true>")]
    pub evictable: bool,
    ///Runs that may fail before the job is given up.
    #[serde(default = "defaults::default_u64::<u32, 3>")]
    pub max_attempts: u32,
    ///Order in which jobs of this class start.
    #[serde(default = "defaults::job_class_priority")]
    pub priority: Priority,
}
impl ::std::default::Default for JobClass {
    fn default() -> Self {
        Self {
            evictable: defaults::default_bool::<true>(),
            max_attempts: defaults::default_u64::<u32, 3>(),
            priority: defaults::job_class_priority(),
        }
    }
}
///Whether such requests are refused, or run while only the home agent detects repeats.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum KeyedInOutage {
    #[serde(rename = "refuse")]
    Refuse,
    #[serde(rename = "home")]
    Home,
}
impl ::std::fmt::Display for KeyedInOutage {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Refuse => f.write_str("refuse"),
            Self::Home => f.write_str("home"),
        }
    }
}
impl ::std::str::FromStr for KeyedInOutage {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "refuse" => Ok(Self::Refuse),
            "home" => Ok(Self::Home),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for KeyedInOutage {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for KeyedInOutage {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for KeyedInOutage {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for KeyedInOutage {
    fn default() -> Self {
        KeyedInOutage::Refuse
    }
}
///Frames of a link's handshake.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Link {
    ///First frame, from the connecting side.
    Hello(Hello),
    ///Second frame, from the accepting side.
    Challenge(Challenge),
    ///Third frame, from the connecting side.
    Proof(Proof),
}
impl ::std::convert::From<Hello> for Link {
    fn from(value: Hello) -> Self {
        Self::Hello(value)
    }
}
impl ::std::convert::From<Challenge> for Link {
    fn from(value: Challenge) -> Self {
        Self::Challenge(value)
    }
}
impl ::std::convert::From<Proof> for Link {
    fn from(value: Proof) -> Self {
        Self::Proof(value)
    }
}
///Load of a minion, as measured by its agent.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq
)]
#[serde(deny_unknown_fields)]
pub struct Load {
    ///Smoothed share of failed answers in thousandths.
    pub failures_permille: u32,
    ///Number of requests that are running.
    pub in_flight: u32,
    ///Recent 99th percentile of service time in microseconds.
    pub p99_us: u64,
    ///Number of requests that wait for a slot.
    pub queued: u32,
    ///Smoothed service time in microseconds.
    pub service_us: u64,
}
///Least severe log level that is written.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum LogLevel {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warn")]
    Warn,
    #[serde(rename = "info")]
    Info,
    #[serde(rename = "debug")]
    Debug,
    #[serde(rename = "trace")]
    Trace,
}
impl ::std::fmt::Display for LogLevel {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warn => f.write_str("warn"),
            Self::Info => f.write_str("info"),
            Self::Debug => f.write_str("debug"),
            Self::Trace => f.write_str("trace"),
        }
    }
}
impl ::std::str::FromStr for LogLevel {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            "trace" => Ok(Self::Trace),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for LogLevel {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for LogLevel {
    fn default() -> Self {
        LogLevel::Info
    }
}
///What is logged.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    ///Whether each routing and placement decision is logged.
    #[serde(default = "defaults::default_bool::<true>")]
    pub decisions: bool,
    ///Least severe level that is written.
    #[serde(default = "defaults::log_settings_level")]
    pub level: LogLevel,
}
impl ::std::default::Default for LogSettings {
    fn default() -> Self {
        Self {
            decisions: defaults::default_bool::<true>(),
            level: defaults::log_settings_level(),
        }
    }
}
///An operator of the console and the operators' API.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    ///SHA-256 of the operator's bearer token, as 64 hexadecimal digits.
    pub token_sha256: crate::Name,
}
///Outcome of one attempt.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Outcome {
    Answered,
    NotRunOverloaded,
    NotRunDeadline,
    NotRunDraining,
    NotRunBarred,
    NotRunUnreachable,
    NotRunUnknownService,
    RunFailed,
    RunTruncated,
    RunTimedOut,
    RunAnswerLost,
    Unknown,
}
impl ::std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Answered => f.write_str("Answered"),
            Self::NotRunOverloaded => f.write_str("NotRunOverloaded"),
            Self::NotRunDeadline => f.write_str("NotRunDeadline"),
            Self::NotRunDraining => f.write_str("NotRunDraining"),
            Self::NotRunBarred => f.write_str("NotRunBarred"),
            Self::NotRunUnreachable => f.write_str("NotRunUnreachable"),
            Self::NotRunUnknownService => f.write_str("NotRunUnknownService"),
            Self::RunFailed => f.write_str("RunFailed"),
            Self::RunTruncated => f.write_str("RunTruncated"),
            Self::RunTimedOut => f.write_str("RunTimedOut"),
            Self::RunAnswerLost => f.write_str("RunAnswerLost"),
            Self::Unknown => f.write_str("Unknown"),
        }
    }
}
impl ::std::str::FromStr for Outcome {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "Answered" => Ok(Self::Answered),
            "NotRunOverloaded" => Ok(Self::NotRunOverloaded),
            "NotRunDeadline" => Ok(Self::NotRunDeadline),
            "NotRunDraining" => Ok(Self::NotRunDraining),
            "NotRunBarred" => Ok(Self::NotRunBarred),
            "NotRunUnreachable" => Ok(Self::NotRunUnreachable),
            "NotRunUnknownService" => Ok(Self::NotRunUnknownService),
            "RunFailed" => Ok(Self::RunFailed),
            "RunTruncated" => Ok(Self::RunTruncated),
            "RunTimedOut" => Ok(Self::RunTimedOut),
            "RunAnswerLost" => Ok(Self::RunAnswerLost),
            "Unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Outcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Parameters of scheduling in all processes.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    ///How long an Idempotency-Key is remembered.
    #[serde(default = "defaults::default_u64::<u64, 86400>")]
    pub claim_ttl_s: u64,
    ///Most evictions a region makes in a minute.
    #[serde(default = "defaults::default_u64::<u32, 20>")]
    pub evictions_per_minute: u32,
    ///How long tasks continue after the last renewal by the planner.
    #[serde(default = "defaults::default_u64::<u64, 10000>")]
    pub hold_ms: u64,
    ///How long a planner that is cut off from the store may keep tasks running.
    #[serde(default = "defaults::default_u64::<u64, 600>")]
    pub outage_hold_s: u64,
    ///Retries allowed per thousand requests.
    #[serde(default = "defaults::default_u64::<u32, 100>")]
    pub retry_budget_permille: u32,
}
impl ::std::default::Default for Policy {
    fn default() -> Self {
        Self {
            claim_ttl_s: defaults::default_u64::<u64, 86400>(),
            evictions_per_minute: defaults::default_u64::<u32, 20>(),
            hold_ms: defaults::default_u64::<u64, 10000>(),
            outage_hold_s: defaults::default_u64::<u64, 600>(),
            retry_budget_permille: defaults::default_u64::<u32, 100>(),
        }
    }
}
///Response to a ping.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pong {
    pub load: Load,
    pub number: u64,
}
///Order in which jobs start; urgent ones may evict others.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Priority {
    #[serde(rename = "urgent")]
    Urgent,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "scavenger")]
    Scavenger,
}
impl ::std::fmt::Display for Priority {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Urgent => f.write_str("urgent"),
            Self::Normal => f.write_str("normal"),
            Self::Scavenger => f.write_str("scavenger"),
        }
    }
}
impl ::std::str::FromStr for Priority {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "scavenger" => Ok(Self::Scavenger),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Priority {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::default::Default for Priority {
    fn default() -> Self {
        Priority::Normal
    }
}
///Third frame on a link, with the proof of the connecting side.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Proof {
    pub proof: crate::Name,
}
///Upper bound on the resources held by a customer's batch tasks.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    ///Whole accelerators.
    #[serde(default = "defaults::default_u64::<u32, 1000000>")]
    pub accelerators: u32,
    ///Unfinished jobs the customer may have.
    #[serde(default = "defaults::default_u64::<u32, 10000>")]
    pub jobs: u32,
    ///Memory in mebibytes.
    #[serde(default = "defaults::default_u64::<u64, 1000000000>")]
    pub memory_mb: u64,
    ///Thousandths of a processor.
    #[serde(default = "defaults::default_u64::<u64, 1000000000>")]
    pub milli_cpus: u64,
}
impl ::std::default::Default for Quota {
    fn default() -> Self {
        Self {
            accelerators: defaults::default_u64::<u32, 1000000>(),
            jobs: defaults::default_u64::<u32, 10000>(),
            memory_mb: defaults::default_u64::<u64, 1000000000>(),
            milli_cpus: defaults::default_u64::<u64, 1000000000>(),
        }
    }
}
///Head of a caller's request to a minion; the body follows in the frame.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RequestHead {
    ///Number of the attempt, 1 for the first.
    pub attempt: u32,
    pub customer: crate::Name,
    ///Milliseconds until the deadline, when the frame was written.
    pub deadline_ms: u64,
    pub headers: ::std::vec::Vec<HeaderField>,
    pub id: RequestId,
    ///Whether a second run is harmless.
    pub idempotent: bool,
    ///Digest of customer and `Idempotency-Key`, empty if the request has no key.
    pub key: crate::Name,
    pub method: ::std::string::String,
    ///Path and query.
    pub path: ::std::string::String,
    pub service: crate::Name,
    ///Weight of the customer in the sharing of slots.
    pub weight: u32,
}
///Identity of one attempt at a request, unique across entries and their restarts.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
#[serde(deny_unknown_fields)]
pub struct RequestId {
    ///Incarnation of the entry that sent the request.
    pub entry: u64,
    ///Number of the attempt, counted by that entry.
    pub sequence: u64,
}
///Resources kept for a service on each of its VMs.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Reserve {
    ///Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
    ///Memory in mebibytes.
    #[serde(default)]
    pub memory_mb: u64,
    ///Thousandths of a processor.
    #[serde(default)]
    pub milli_cpus: u64,
}
impl ::std::default::Default for Reserve {
    fn default() -> Self {
        Self {
            accelerators: Default::default(),
            memory_mb: Default::default(),
            milli_cpus: Default::default(),
        }
    }
}
///Amounts of the three resources that a VM has and a task needs.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    PartialEq
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    ///Whole accelerators.
    pub accelerators: u32,
    ///Memory in mebibytes.
    pub memory_mb: u64,
    ///Thousandths of a processor.
    pub milli_cpus: u64,
}
///A service of minions that answers callers' requests.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    ///Connections one minion accepts.
    #[serde(default = "defaults::default_u64::<u32, 64>")]
    pub connections: u32,
    ///Deadline of a request that names none.
    #[serde(default = "defaults::default_u64::<u64, 2000>")]
    pub deadline_ms: u64,
    ///How keyed non-idempotent requests are handled while the store is down.
    #[serde(default = "defaults::service_keyed_in_outage")]
    pub keyed_in_outage: KeyedInOutage,
    ///Largest request or answer body in KiB.
    #[serde(default = "defaults::default_u64::<u32, 1024>")]
    pub max_body_kb: u32,
    ///Requests that may wait at one agent for a slot.
    #[serde(default = "defaults::default_u64::<u32, 32>")]
    pub queue: u32,
    ///Resources kept free of batch work beside each minion.
    #[serde(default = "defaults::service_reserve")]
    pub reserve: Reserve,
    ///Requests one minion runs at once.
    #[serde(default = "defaults::default_u64::<u32, 8>")]
    pub slots: u32,
    ///99th percentile of latency that the service must not exceed because of batch work.
    #[serde(default = "defaults::default_u64::<u64, 200>")]
    pub target_p99_ms: u64,
}
impl ::std::default::Default for Service {
    fn default() -> Self {
        Self {
            connections: defaults::default_u64::<u32, 64>(),
            deadline_ms: defaults::default_u64::<u64, 2000>(),
            keyed_in_outage: defaults::service_keyed_in_outage(),
            max_body_kb: defaults::default_u64::<u32, 1024>(),
            queue: defaults::default_u64::<u32, 32>(),
            reserve: defaults::service_reserve(),
            slots: defaults::default_u64::<u32, 8>(),
            target_p99_ms: defaults::default_u64::<u64, 200>(),
        }
    }
}
///Order to start one run of a job.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StartTask {
    ///Checkpoint to resume from, empty to start from the beginning.
    pub checkpoint: crate::Name,
    pub class: crate::Name,
    pub command: ::std::string::String,
    pub customer: crate::Name,
    ///Number of this run; orders with a lower number are refused.
    pub epoch: u64,
    pub job: crate::Name,
    pub need: Resources,
    pub term: u64,
}
///Reference to one run of a job, with the term of the planner.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskRef {
    pub epoch: u64,
    pub job: crate::Name,
    pub term: u64,
}
///State of one run of a job; a final state is sent until it is acknowledged.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    ///Latest checkpoint, empty if none.
    pub checkpoint: crate::Name,
    pub epoch: u64,
    pub job: crate::Name,
    ///Result, or reason of the failure.
    pub result: ::std::string::String,
    pub state: TaskState,
    ///Measured usage; the measurement lags behind.
    pub usage: Resources,
}
///State of one run of a job, as the agent knows it.
///
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum TaskState {
    Starting,
    Running,
    Done,
    Failed,
    Stopped,
    Evicted,
    Refused,
    Lapsed,
}
impl ::std::fmt::Display for TaskState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Starting => f.write_str("Starting"),
            Self::Running => f.write_str("Running"),
            Self::Done => f.write_str("Done"),
            Self::Failed => f.write_str("Failed"),
            Self::Stopped => f.write_str("Stopped"),
            Self::Evicted => f.write_str("Evicted"),
            Self::Refused => f.write_str("Refused"),
            Self::Lapsed => f.write_str("Lapsed"),
        }
    }
}
impl ::std::str::FromStr for TaskState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "Starting" => Ok(Self::Starting),
            "Running" => Ok(Self::Running),
            "Done" => Ok(Self::Done),
            "Failed" => Ok(Self::Failed),
            "Stopped" => Ok(Self::Stopped),
            "Evicted" => Ok(Self::Evicted),
            "Refused" => Ok(Self::Refused),
            "Lapsed" => Ok(Self::Lapsed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Order to limit the processor use of one run of a job.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    pub epoch: u64,
    pub job: crate::Name,
    ///Share of its processors the task may use, in thousandths.
    pub permille: u32,
    pub term: u64,
}
///Frames from an entry to an agent.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ToAgent {
    ///Starts an attempt at a request; the body follows.
    Request(RequestHead),
    ///Cancels an attempt, because the caller has disconnected.
    Cancel(RequestId),
    ///Asks for the outcome of an attempt.
    Ask(Ask),
    ///Asks for the response to the request with an idempotency key.
    AskKey(AskKey),
    ///Asks for a pong with the same number.
    Ping(u64),
    ///Carries a configuration.
    Adopt(Adopt),
    ///Asks for the configuration in force.
    FetchConfig,
    ///Starts a task.
    Start(StartTask),
    ///Checkpoints and stops a task, which resumes elsewhere.
    Evict(TaskRef),
    ///Stops a task that is not resumed.
    Stop(TaskRef),
    ///Limits the processor use of a task.
    Throttle(Throttle),
    ///Acknowledges a final report, which the planner has committed.
    Settled(TaskRef),
    ///Announces the term of a new planner and asks for an inventory.
    Supersede(u64),
}
impl ::std::convert::From<RequestHead> for ToAgent {
    fn from(value: RequestHead) -> Self {
        Self::Request(value)
    }
}
impl ::std::convert::From<RequestId> for ToAgent {
    fn from(value: RequestId) -> Self {
        Self::Cancel(value)
    }
}
impl ::std::convert::From<Ask> for ToAgent {
    fn from(value: Ask) -> Self {
        Self::Ask(value)
    }
}
impl ::std::convert::From<AskKey> for ToAgent {
    fn from(value: AskKey) -> Self {
        Self::AskKey(value)
    }
}
impl ::std::convert::From<Adopt> for ToAgent {
    fn from(value: Adopt) -> Self {
        Self::Adopt(value)
    }
}
impl ::std::convert::From<StartTask> for ToAgent {
    fn from(value: StartTask) -> Self {
        Self::Start(value)
    }
}
impl ::std::convert::From<Throttle> for ToAgent {
    fn from(value: Throttle) -> Self {
        Self::Throttle(value)
    }
}
///Frames from an agent to an entry.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum ToEntry {
    ///Final result of an attempt; the body of the response follows.
    Answer(AnswerHead),
    ///Response to a question.
    Verdict(Verdict),
    ///Response to a ping.
    Pong(Pong),
    ///Reports the revision in force on the agent.
    InForce(u64),
    ///Head of the configuration in force; the document follows as JSON.
    Config(Adopt),
    ///Reports the state of a task.
    Report(TaskReport),
    ///Lists all tasks.
    Inventory(Inventory),
    ///Announces that the agent drains; entries send nothing new.
    Leaving,
}
impl ::std::convert::From<AnswerHead> for ToEntry {
    fn from(value: AnswerHead) -> Self {
        Self::Answer(value)
    }
}
impl ::std::convert::From<Verdict> for ToEntry {
    fn from(value: Verdict) -> Self {
        Self::Verdict(value)
    }
}
impl ::std::convert::From<Pong> for ToEntry {
    fn from(value: Pong) -> Self {
        Self::Pong(value)
    }
}
impl ::std::convert::From<u64> for ToEntry {
    fn from(value: u64) -> Self {
        Self::InForce(value)
    }
}
impl ::std::convert::From<Adopt> for ToEntry {
    fn from(value: Adopt) -> Self {
        Self::Config(value)
    }
}
impl ::std::convert::From<TaskReport> for ToEntry {
    fn from(value: TaskReport) -> Self {
        Self::Report(value)
    }
}
impl ::std::convert::From<Inventory> for ToEntry {
    fn from(value: Inventory) -> Self {
        Self::Inventory(value)
    }
}
///Response to a question about an attempt.
///
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Verdict {
    pub id: RequestId,
    pub verdict: AskVerdict,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn agent_settings_log() -> super::LogSettings {
        super::LogSettings {
            decisions: true,
            level: super::LogLevel::Info,
        }
    }
    pub(super) fn customer_quota() -> super::Quota {
        super::Quota {
            accelerators: 1000000_u32,
            jobs: 10000_u32,
            memory_mb: 1000000000_u64,
            milli_cpus: 1000000000_u64,
        }
    }
    pub(super) fn document_policy() -> super::Policy {
        super::Policy {
            claim_ttl_s: 86400_u64,
            evictions_per_minute: 20_u32,
            hold_ms: 10000_u64,
            outage_hold_s: 600_u64,
            retry_budget_permille: 100_u32,
        }
    }
    pub(super) fn entry_settings_log() -> super::LogSettings {
        super::LogSettings {
            decisions: true,
            level: super::LogLevel::Info,
        }
    }
    pub(super) fn job_class_priority() -> super::Priority {
        super::Priority::Normal
    }
    pub(super) fn log_settings_level() -> super::LogLevel {
        super::LogLevel::Info
    }
    pub(super) fn service_keyed_in_outage() -> super::KeyedInOutage {
        super::KeyedInOutage::Refuse
    }
    pub(super) fn service_reserve() -> super::Reserve {
        super::Reserve {
            accelerators: 0_u32,
            memory_mb: 0_u64,
            milli_cpus: 0_u64,
        }
    }
}
