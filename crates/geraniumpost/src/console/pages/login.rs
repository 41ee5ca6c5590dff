use maud::{Markup, html};

use super::Layout;

/// Renders the login page; `refused` shows that the last token was not accepted.
pub(crate) fn login(layout: &Layout, refused: bool) -> Markup {
    layout.page(
        "Sign in",
        html! {
            @if refused { p class="problem" { "The token does not belong to an operator." } }
            form method="post" action="/login" {
                label for="token" { "Operator's token" }
                input id="token" name="token" type="password" autocomplete="off" required;
                button { "Sign in" }
            }
        },
    )
}
