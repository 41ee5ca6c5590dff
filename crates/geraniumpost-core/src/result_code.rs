use derive_more::Display;

/// Numbered result of a request, returned to the caller in `X-Result-Code`.
///
/// The meaning of a number never changes. Codes that say "not run" are a guarantee: see
/// [`Self::is_not_run`]. A test checks the table in `docs/RESULT_CODES.md` against this type.
///
/// # Example
///
/// ```
/// use geraniumpost_core::ResultCode;
/// let code = ResultCode::OutcomeUnknown;
/// assert_eq!((code.number(), code.http_status()), (2004, 502));
/// assert!(!code.is_not_run());
/// assert_eq!(code.to_string(), "2004");
/// ```
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{}", self.number())]
#[repr(u16)]
pub enum ResultCode {
    /// The minion sent a complete response.
    Answered = 2000,
    /// Every agent tried is overloaded.
    Overloaded = 2001,
    /// The request cannot be completed before its deadline.
    DeadlineTooShort = 2002,
    /// No agent of the service accepts work.
    NoAgent = 2003,
    /// The request may or may not have run.
    OutcomeUnknown = 2004,
    /// The minion failed while it processed the request.
    MinionFailed = 2005,
    /// The minion's response was truncated.
    AnswerTruncated = 2006,
    /// The request was started and exceeded its deadline.
    TimedOut = 2007,
    /// The customer has too many requests in flight.
    CustomerLimit = 2008,
    /// The bearer token is missing or unknown.
    BadToken = 2009,
    /// The path names no known service.
    UnknownService = 2010,
    /// The body is larger than the service allows.
    BodyTooLarge = 2011,
    /// The request cannot be parsed.
    Malformed = 2012,
    /// The idempotency key cannot be claimed because the store is unavailable.
    StoreDown = 2013,
    /// The first request with the idempotency key ran, and its response is no longer kept.
    FirstAnswerLost = 2014,
    /// The entry is shutting down.
    EntryLeaving = 2015,
}

impl ResultCode {
    /// All codes in the order of their numbers.
    pub const ALL: &[Self] = &[
        Self::Answered,
        Self::Overloaded,
        Self::DeadlineTooShort,
        Self::NoAgent,
        Self::OutcomeUnknown,
        Self::MinionFailed,
        Self::AnswerTruncated,
        Self::TimedOut,
        Self::CustomerLimit,
        Self::BadToken,
        Self::UnknownService,
        Self::BodyTooLarge,
        Self::Malformed,
        Self::StoreDown,
        Self::FirstAnswerLost,
        Self::EntryLeaving,
    ];

    /// Returns the number in `X-Result-Code`, from 2000 to 2015.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status for the code. With [`Self::Answered`] the caller receives the
    /// minion's own status instead.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Answered => 200,
            Self::Malformed => 400,
            Self::BadToken => 401,
            Self::UnknownService => 404,
            Self::FirstAnswerLost => 409,
            Self::BodyTooLarge => 413,
            Self::CustomerLimit => 429,
            Self::OutcomeUnknown | Self::MinionFailed | Self::AnswerTruncated => 502,
            Self::TimedOut => 504,
            Self::Overloaded
            | Self::DeadlineTooShort
            | Self::NoAgent
            | Self::StoreDown
            | Self::EntryLeaving => 503,
        }
    }

    /// Returns whether the code guarantees that the request did not run and never will.
    pub const fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::Answered
                | Self::OutcomeUnknown
                | Self::MinionFailed
                | Self::AnswerTruncated
                | Self::TimedOut
                | Self::FirstAnswerLost
        )
    }

    /// Returns one sentence for the caller about what happened to the request.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Answered => "The minion answered; the status and body are its own.",
            Self::Overloaded => "Not run: the agents tried have no room for more of this customer.",
            Self::DeadlineTooShort => "Not run: it could not be answered before its deadline.",
            Self::NoAgent => "Not run: no agent of the service accepts work.",
            Self::OutcomeUnknown => "It may have run once or not at all; nobody can know any more.",
            Self::MinionFailed => "It was started, and the minion failed before it answered.",
            Self::AnswerTruncated => "It ran, and the minion's answer was cut short.",
            Self::TimedOut => "It was started and did not end before its deadline.",
            Self::CustomerLimit => "Not run: the customer has too many requests in flight.",
            Self::BadToken => "Not run: the bearer token is missing or belongs to no customer.",
            Self::UnknownService => "Not run: the path names no service.",
            Self::BodyTooLarge => "Not run: the body is larger than the service allows.",
            Self::Malformed => "Not run: the request cannot be read.",
            Self::StoreDown => "Not run: the store is down, so the key cannot be claimed.",
            Self::FirstAnswerLost => {
                "The first request with this key ran; its answer is not kept any more."
            }
            Self::EntryLeaving => "Not run: the entry is being stopped.",
        }
    }

    /// Returns one sentence that advises the caller what to do next.
    pub const fn advice(self) -> &'static str {
        match self {
            Self::Answered => "Nothing.",
            Self::Overloaded | Self::NoAgent | Self::EntryLeaving => {
                "Send it again after Retry-After."
            }
            Self::DeadlineTooShort => {
                "Send it again after Retry-After, or with a longer X-Request-Timeout-Ms."
            }
            Self::OutcomeUnknown | Self::FirstAnswerLost => {
                "Look at what the request was to change before sending it under a new key."
            }
            Self::MinionFailed | Self::AnswerTruncated | Self::TimedOut => {
                "Send it again if a second run does no harm; otherwise look at what it changed."
            }
            Self::CustomerLimit => {
                "Wait for answers before sending more, or ask for a higher limit."
            }
            Self::BadToken => "Send Authorization: Bearer with the customer's token.",
            Self::UnknownService => "Start the path with the name of a service.",
            Self::BodyTooLarge => "Send a smaller body, or ask for a higher max_body_kb.",
            Self::Malformed => "Correct the request.",
            Self::StoreDown => "Send it again with the same key after Retry-After.",
        }
    }
}
