/// Defines the codes with what each means, what to do and the HTTP status that goes with it.
macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $meaning:literal, $advice:literal;)*) => {
        /// Numbered result of a call of the operators' API.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ApiCode {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl ApiCode {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the HTTP status that goes with the code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns one sentence that says what is wrong.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns one sentence that says what to do.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)* }
            }
        }
    };
}

codes! {
    NotAnOperator = 4001, 401, "The token is missing or belongs to no operator.",
        "Send Authorization: Bearer with an operator's token.";
    NotFound = 4002, 404, "There is no such page.", "See docs/OPERATIONS.md for the calls.";
    WrongMethod = 4003, 405, "The page does not know the method.", "Use another method.";
    BodyTooLarge = 4004, 413, "The body is too large.", "Send a smaller body.";
    Malformed = 4005, 400, "The call cannot be read.", "Correct the call.";
    RevisionMissing = 4006, 428, "The call does not say which revision it changes.",
        "Send If-Match with the revision that was read, in quotes.";
    DocumentInvalid = 4007, 422, "The document has problems and was not accepted.",
        "Correct every problem that is listed.";
    Conflict = 4008, 409, "Others changed the configuration first; this change was not made.",
        "Read the configuration again, and make the change anew if it is still wanted.";
    StoreDown = 4009, 503, "The store did not take the change; it was not made.",
        "Try again when the store is back.";
    Uncertain = 4010, 504, "Whether the change was made is not known.",
        "Repeat the call with the same X-Change-Id; it is never made twice.";
    CrossSiteForm = 4011, 403, "The form was not made by this console for this operator.",
        "Open the page again and send its form.";
    NoPlanner = 4012, 503, "No entry plans for the region at the moment.",
        "Try again after Retry-After; a planner is chosen within seconds.";
    NoConfiguration = 4013, 503, "No configuration is in force on this entry.",
        "Write the first one, or wait until the store or another entry answers.";
    Unknown = 4014, 503, "The planner did not answer; whether it did as asked is not known.",
        "Repeat the call; submitting and cancelling twice does no harm.";
}

impl ApiCode {
    /// Returns the number under which the code is documented.
    pub const fn number(self) -> u16 {
        self as u16
    }
}
