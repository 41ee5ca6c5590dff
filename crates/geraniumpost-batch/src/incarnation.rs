use geraniumpost_schema::Name;

/// Separates the id from the start time in the name of an incarnation.
const SEPARATOR: char = '@';

/// Identity of a minion's process: the minion's id, and the time at which the process started.
///
/// A minion may start again under the id that it had. The new process knows nothing of the earlier
/// one, but a call that is addressed to the id reaches it. Only the start time tells the two apart.
/// The [`Name`] of an incarnation contains both, so that messages and records that name an
/// incarnation name exactly one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incarnation {
    /// Id of the minion, by which calls are addressed.
    pub id: Name,
    /// Start time of the process in milliseconds since 1970; `None` for minions that report none.
    pub born_ms: Option<u64>,
}

impl Incarnation {
    /// Returns the incarnation that a name stands for. Every name stands for one; a name without a
    /// start time is an id.
    pub fn from_name(name: &Name) -> Self {
        match name.rsplit_once(SEPARATOR) {
            Some((id, "")) => Self { id: Name::from(id), born_ms: None },
            Some((id, born)) if is_canonical(born) => {
                Self { id: Name::from(id), born_ms: born.parse().ok() }
            }
            _ => Self { id: name.clone(), born_ms: None },
        }
    }

    /// Returns the name of this incarnation, which is the id itself if the start time is unknown.
    pub fn to_name(&self) -> Name {
        match self.born_ms {
            Some(born_ms) => Name::from(format!("{}{SEPARATOR}{born_ms}", self.id)),
            // The separator at the end keeps the id from being read as id and start time.
            None if self.id.contains(SEPARATOR) => Name::from(format!("{}{SEPARATOR}", self.id)),
            None => self.id.clone(),
        }
    }

    /// Returns the id that calls to the incarnation with this name are addressed to.
    pub fn id_of(name: &Name) -> Name {
        Self::from_name(name).id
    }

    /// Returns whether both names stand for incarnations of the minion with one id, which may be
    /// the same incarnation.
    pub fn have_same_id(one: &Name, other: &Name) -> bool {
        Self::from_name(one).id == Self::from_name(other).id
    }

    /// Returns whether two names stand for different processes under the same id. A call to either
    /// may then reach the other. False if a start time is unknown, because the names may then stand
    /// for the same process.
    pub fn is_other_process(one: &Name, other: &Name) -> bool {
        Self::from_name(one).is_other_process_than(&Self::from_name(other))
    }

    /// Like [`Self::is_other_process`], for incarnations whose names are decoded already.
    pub fn is_other_process_than(&self, other: &Self) -> bool {
        self.id == other.id
            && self.born_ms.is_some()
            && other.born_ms.is_some()
            && self.born_ms != other.born_ms
    }

    /// Returns whether two different names may stand for the same process: they have the same id,
    /// and only one of them contains a start time. That happens when agents of different versions
    /// report the same process.
    pub fn may_be_same_process(one: &Name, other: &Name) -> bool {
        let (one, other) = (Self::from_name(one), Self::from_name(other));
        one.id == other.id && one.born_ms.is_some() != other.born_ms.is_some()
    }

    /// Returns whether `name` stands for a process under the same id that started before this one.
    /// A process that reports no start time counts as earlier than any that does: all reports of
    /// the latter contain its start time.
    pub fn is_later_than(&self, name: &Name) -> bool {
        let other = Self::from_name(name);
        self.id == other.id && self.born_ms > other.born_ms
    }
}

/// Returns whether a text is a number as [`Incarnation::to_name`] writes it. Other texts belong to
/// the id.
fn is_canonical(number: &str) -> bool {
    number.parse::<u64>().is_ok_and(|value| value.to_string() == number)
}
