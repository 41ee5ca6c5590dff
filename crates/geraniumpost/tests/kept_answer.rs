//! Tests of the memory of kept responses.
//!
//! An agent keeps thousands of responses for entries that ask for them again. A small body that is
//! a slice would keep the complete buffer into which it was read. The agent would run out of memory
//! and be killed, and its knowledge of which requests have run would be lost.

use bytes::Bytes;
use geraniumpost::agent::KeptAnswer;

macro_rules! cases {
    ($($name:ident: $body:expr => released $released:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let buf = Bytes::from(vec![7; 256 * 1024]);
                let kept = KeptAnswer::answered(200, Vec::new(), buf.slice(..$body));
                assert_eq!(buf.is_unique(), $released);
                assert_eq!(kept.size(), $body);
            }
        )+
    };
}

cases! {
    a_small_body_releases_its_buffer: 64 => released true;
    a_body_of_64_kb_releases_its_buffer: 64 * 1024 => released true;
    a_large_body_is_not_copied: 64 * 1024 + 1 => released false;
}
