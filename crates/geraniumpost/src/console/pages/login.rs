use maud::{Markup, html};

use super::Frame;

/// Renders the page on which an operator signs in.
pub(crate) fn login(frame: &Frame, refused: bool) -> Markup {
    frame.page(
        "Sign in",
        html! {
            @if refused { p class="problem" { "This is no operator's token." } }
            form method="post" action="/login" {
                label for="token" { "Operator's token" }
                input id="token" name="token" type="password" autocomplete="off" required;
                button { "Sign in" }
            }
        },
    )
}
