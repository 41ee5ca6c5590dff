use maud::{DOCTYPE, Markup, html};

use crate::console::ApiError;

/// Style sheet, which is part of each page because pages may not load other files.
const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:62rem;margin:1rem auto;padding:0 1rem}\
nav a{margin-right:1rem}table{border-collapse:collapse}td,th{text-align:left;padding:.2rem .8rem;\
border-bottom:1px solid #ccc}label{display:block;margin:.6rem 0 .1rem;font-weight:600}\
small{color:#555;display:block}.problem{color:#a00}.note{background:#fe9;padding:.5rem}\
fieldset{margin:.8rem 0;border:1px solid #ccc}button{margin:.8rem .5rem 0 0}pre{background:#eee;\
padding:.5rem;overflow:auto}";

/// Data of the layout that all pages share.
#[derive(Debug, Clone, Default)]
pub(crate) struct Layout {
    /// Name of the entry.
    pub(crate) entry: String,
    /// Name of the operator, empty if nobody is signed in.
    pub(crate) operator: String,
    /// Revision in force on this entry.
    pub(crate) revision: u64,
    /// Token against cross-site request forgery, which each form contains.
    pub(crate) csrf_token: String,
}

impl Layout {
    /// Renders a complete page.
    pub(crate) fn page(&self, title: &str, content: Markup) -> Markup {
        html! {
            (DOCTYPE)
            html lang="en" {
                head {
                    meta charset="utf-8";
                    title { (title) " - geraniumpost" }
                    style { (STYLE) }
                }
                body {
                    @if !self.operator.is_empty() { (self.navigation()) }
                    h1 { (title) }
                    (content)
                }
            }
        }
    }

    /// Renders the hidden fields of a form.
    pub(crate) fn hidden(&self, change_id: &str, revision: u64) -> Markup {
        html! {
            input type="hidden" name="proof" value=(self.csrf_token);
            input type="hidden" name="change_id" value=(change_id);
            input type="hidden" name="revision" value=(revision);
        }
    }

    fn navigation(&self) -> Markup {
        html! {
            nav {
                a href="/" { "Status" }
                a href="/config" { "Configuration" }
                a href="/jobs" { "Jobs" }
                a href="/metrics" { "Metrics" }
                form method="post" action="/logout" style="display:inline" {
                    (self.hidden("", 0))
                    button { "Sign out " (self.operator) }
                }
            }
            p { "Entry " b { (self.entry) } ", configuration revision " b { (self.revision) } "." }
        }
    }
}

/// Renders the page for an error.
pub(crate) fn failure(layout: &Layout, error: &ApiError) -> Markup {
    layout.page(
        "Action failed",
        html! {
            p class="problem" { (error.message) " (" (error.code) ")" }
            p { (error.advice) }
            @if !error.details.is_null() { pre { (format!("{:#}", error.details)) } }
        },
    )
}
