/// Defines the codes with their number, HTTP status, meaning and advice.
macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $meaning:literal, $advice:literal;)*) => {
        /// Result code of a call of the operators' API.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ApiCode {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl ApiCode {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status for the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns a sentence that describes the error.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns a sentence that says what to do.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)* }
            }
        }
    };
}

codes! {
    NotAnOperator = 4001, 401, "The token is missing or does not belong to an operator.",
        "Send the header Authorization: Bearer with an operator's token.";
    NotFound = 4002, 404, "The path does not exist.",
        "Use one of the calls in docs/OPERATIONS.md.";
    WrongMethod = 4003, 405, "The path does not support this HTTP method.",
        "Use one of the calls in docs/OPERATIONS.md.";
    BodyTooLarge = 4004, 413, "The body is larger than 1 MiB.", "Send a smaller body.";
    Malformed = 4005, 400, "The call is malformed.", "Correct the call.";
    RevisionMissing = 4006, 428, "The call does not name the revision that it changes.",
        "Send the header If-Match with the revision that was read, in quotes.";
    DocumentInvalid = 4007, 422, "The document is invalid and was not accepted.",
        "Correct all listed problems.";
    Conflict = 4008, 409,
        "Another operator changed the configuration first; this change was not made.",
        "Read the configuration again and repeat the change if it is still needed.";
    StoreDown = 4009, 503, "The store did not accept the change; it was not made.",
        "Repeat the call when the store is available again.";
    Uncertain = 4010, 504, "It is unknown whether the change was made.",
        "Repeat the call with the same X-Change-Id; the change is made at most once.";
    CrossSiteForm = 4011, 403, "The form does not come from this operator's session of the console.",
        "Open the page again and submit its form.";
    NoPlanner = 4012, 503, "No entry plans for the region at the moment.",
        "Repeat the call after Retry-After; an entry becomes the planner within seconds.";
    NoConfiguration = 4013, 503, "No configuration is in force on this entry.",
        "Write the first configuration, or wait until the entry reads one from the store or a peer.";
    Unknown = 4014, 503, "The planner did not answer; it is unknown whether the call took effect.",
        "Repeat the call; repeating a submission or cancellation has no further effect.";
}

impl ApiCode {
    /// Returns the number of the code, as listed in `docs/RESULT_CODES.md`.
    pub const fn number(self) -> u16 {
        self as u16
    }
}
