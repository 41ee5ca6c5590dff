//! Handlers of the console's pages and submitted forms.

use geraniumpost_config::{Report, Schema, SchemaKind, check_document_value, token_digest};
use geraniumpost_schema::{Document, Name};
use serde_json::{Map, Value};

use super::form::Form;
use super::identity::{check_csrf, csrf_token, find_operator};
use super::pages::{self, EditView, Layout, Section};
use super::route::{job_id, parse_change_id};
use super::{ApiCode, ApiError, Call, ConsoleContext, JobCall, Reply, api, api_jobs};

/// Lifetime of the cookie with the operator's token, in seconds.
const COOKIE_LIFETIME_S: u32 = 12 * 3600;
/// Path segment of a new value, instead of the name of an existing one.
const NEW_VALUE: &str = "+new";

/// Returns a page. Redirects to the login page if the operator is not signed in.
pub(super) async fn page(call: &Call, parts: &[String], context: &ConsoleContext) -> Reply {
    let Some(operator) = find_operator(call.token(), context) else {
        return match parts {
            [only] if only == "login" => {
                Reply::page(200, pages::login(&layout(call, "", context), false))
            }
            _ => Reply::redirect("/login"),
        };
    };
    let layout = layout(call, &operator, context);
    let page = show(call, parts, operator, &layout, context).await;
    page.unwrap_or_else(|error| Reply::page(error.status, pages::failure(&layout, &error)))
}

/// Handles a submitted form.
pub(super) async fn post(call: &Call, parts: &[String], context: &ConsoleContext) -> Reply {
    let form = Form::parse(&call.body);
    if parts == ["login"] {
        return sign_in(call, &form, context);
    }
    let Some(operator) = find_operator(call.token(), context) else {
        return Reply::redirect("/login");
    };
    let layout = layout(call, &operator, context);
    let handled = match check_csrf(call, form.get("proof")) {
        Ok(()) => handle_form(call, parts, &form, operator, &layout, context).await,
        Err(error) => Err(error),
    };
    handled.unwrap_or_else(|error| Reply::page(error.status, pages::failure(&layout, &error)))
}

fn layout(call: &Call, operator: &str, context: &ConsoleContext) -> Layout {
    Layout {
        entry: context.name.to_string(),
        operator: operator.to_owned(),
        revision: context.config.active().load().revision(),
        csrf_token: csrf_token(call.token()),
    }
}

fn sign_in(call: &Call, form: &Form, context: &ConsoleContext) -> Reply {
    let token = form.get("token");
    if call.cross_origin || find_operator(token, context).is_none() {
        return Reply::page(401, pages::login(&layout(call, "", context), true));
    }
    Reply::redirect("/").cookie(&super::call::cookie_value(token), COOKIE_LIFETIME_S)
}

async fn show(
    call: &Call,
    parts: &[String],
    operator: Name,
    layout: &Layout,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let schema = Schema::of(SchemaKind::Document);
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let markup = match parts.as_slice() {
        [] => pages::home(layout, &api::status(context), &api::in_force(context)),
        ["login"] => return Ok(Reply::redirect("/")),
        ["config"] => pages::overview(layout, &document(context)),
        ["config", "policy"] => {
            let value = document(context)["policy"].clone();
            pages::policy(layout, schema, &edit_view(layout, "", value, true))
        }
        ["config", key] => pages::section(layout, section(key)?, schema, &document(context)),
        ["config", key, name] => {
            let section = section(key)?;
            let value = document(context)[section.key][*name].clone();
            let exists = !value.is_null();
            if !exists && *name != NEW_VALUE {
                return Err(ApiCode::NotFound.into());
            }
            let name = if exists { name } else { "" };
            pages::edit(layout, section, schema, &edit_view(layout, name, value, exists))
        }
        ["jobs"] => {
            let list = api_jobs::call_planner(JobCall::List, call, operator, context).await?;
            pages::jobs(layout, &list, &document(context))
        }
        ["jobs", id] => {
            let id = job_id(id)?;
            let status = JobCall::Status { id: id.clone() };
            let status = api_jobs::call_planner(status, call, operator.clone(), context).await?;
            let explain = JobCall::Explain { id: id.clone() };
            let explain = api_jobs::call_planner(explain, call, operator, context).await?;
            pages::job(layout, &id, &status, &explain)
        }
        _ => return Err(ApiCode::NotFound.into()),
    };
    Ok(Reply::page(200, markup))
}

async fn handle_form(
    call: &Call,
    parts: &[String],
    form: &Form,
    operator: Name,
    layout: &Layout,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    match parts.as_slice() {
        ["logout"] => Ok(Reply::redirect("/login").cookie("", 0)),
        ["config", "policy"] => save_policy(form, operator, layout, context).await,
        ["config", key] => save(section(key)?, form, operator, layout, context).await,
        ["config", key, name, "delete"] => {
            remove(section(key)?, name, form, operator, context).await
        }
        ["jobs"] => {
            let id = job_id(form.get("id"))?;
            let body = job_body(form).to_string();
            let submit = api_jobs::submission(id.clone(), body.as_bytes(), context)?;
            api_jobs::call_planner(submit, call, operator, context).await?;
            Ok(Reply::redirect(&format!("/jobs/{id}")))
        }
        ["jobs", id, "cancel"] => {
            let id = job_id(id)?;
            let cancel = JobCall::Cancel { id: id.clone() };
            api_jobs::call_planner(cancel, call, operator, context).await?;
            Ok(Reply::redirect(&format!("/jobs/{id}")))
        }
        _ => Err(ApiCode::NotFound.into()),
    }
}

/// Adds or changes a named value of a section.
async fn save(
    section: Section,
    form: &Form,
    operator: Name,
    layout: &Layout,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let schema = Schema::of(SchemaKind::Document);
    let name = form.get("name");
    let mut value = form.value(schema, &schema.definitions()[section.definition], "");
    if !form.get("token").is_empty() && value.get("token_sha256").is_none_or(Value::is_string) {
        value["token_sha256"] = Value::from(token_digest(form.get("token")));
    }
    let item = value.clone();
    let change = |document: &mut Value| document[section.key][name] = item;
    let outcome = commit(form, operator, context, change).await;
    let known = document(context)[section.key].get(name).is_some();
    match outcome? {
        Saved::Done => Ok(Reply::redirect(&format!("/config/{}", section.key))),
        Saved::Rejected(report, error) => {
            let view = EditView {
                problems: report.problems,
                error,
                ..edit_view(layout, name, value, known)
            };
            let page = pages::edit(layout, section, schema, &with_current_revision(view, context));
            Ok(Reply::page(422, page))
        }
    }
}

async fn save_policy(
    form: &Form,
    operator: Name,
    layout: &Layout,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let schema = Schema::of(SchemaKind::Document);
    let value = form.value(schema, &schema.definitions()["Policy"], "");
    let item = value.clone();
    match commit(form, operator, context, |document| document["policy"] = item).await? {
        Saved::Done => Ok(Reply::redirect("/config/policy")),
        Saved::Rejected(report, error) => {
            let view =
                EditView { problems: report.problems, error, ..edit_view(layout, "", value, true) };
            Ok(Reply::page(
                422,
                pages::policy(layout, schema, &with_current_revision(view, context)),
            ))
        }
    }
}

async fn remove(
    section: Section,
    name: &str,
    form: &Form,
    operator: Name,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let change = |document: &mut Value| {
        if let Some(items) = document[section.key].as_object_mut() {
            items.remove(name);
        }
    };
    match commit(form, operator, context, change).await? {
        Saved::Done => Ok(Reply::redirect(&format!("/config/{}", section.key))),
        Saved::Rejected(_, Some(error)) => Err(error),
        Saved::Rejected(report, None) => Err(api::invalid(&report)),
    }
}

/// Outcome of a form that changes the configuration.
enum Saved {
    Done,
    /// The document is invalid, or conflicts with a change of another operator.
    Rejected(Report, Option<ApiError>),
}

/// Applies a change to the revision of the document that the form shows, and commits the result.
async fn commit(
    form: &Form,
    operator: Name,
    context: &ConsoleContext,
    change: impl FnOnce(&mut Value),
) -> Result<Saved, ApiError> {
    let malformed =
        |_| ApiError::from(ApiCode::Malformed).message("The form contains no revision.");
    let based_on: u64 = form.get("revision").parse().map_err(malformed)?;
    let change_id = parse_change_id(form.get("change_id"))?;
    let mut value = document_at_least(based_on, context).await?;
    change(&mut value);
    let document = match check_document_value(value) {
        Ok(document) => document,
        Err(report) => return Ok(Saved::Rejected(report, None)),
    };
    match api::commit(context, change_id, operator, based_on, document).await {
        Ok(_) => Ok(Saved::Done),
        Err(error) if error.code == ApiCode::Conflict.number() => {
            Ok(Saved::Rejected(Report::default(), Some(error)))
        }
        Err(error) => Err(error),
    }
}

/// Returns the document that a form changes, with at least the form's revision.
///
/// Another entry may have served the form from a newer revision than this entry has in force. If
/// the change were applied to the older document, it would revert the changes in between, and the
/// commit would succeed because the form's revision is the current one. Therefore the document is
/// read from the store first. If the document is newer than the form, the commit fails with a
/// conflict.
async fn document_at_least(based_on: u64, context: &ConsoleContext) -> Result<Value, ApiError> {
    if context.config.active().load().revision() < based_on {
        let unavailable = |_| ApiError::from(ApiCode::StoreDown);
        context.config.refresh(&context.store).await.map_err(unavailable)?;
    }
    let now = context.config.active().load_full();
    if now.revision() < based_on {
        return Err(ApiCode::StoreDown.into());
    }
    Ok(as_value(now.document()))
}

fn document(context: &ConsoleContext) -> Value {
    as_value(context.config.active().load().document())
}

fn as_value(document: &Document) -> Value {
    serde_json::to_value(document).unwrap_or_default()
}

fn section(key: &str) -> Result<Section, ApiError> {
    Section::find(key).ok_or_else(|| ApiCode::NotFound.into())
}

fn edit_view(layout: &Layout, name: &str, value: Value, exists: bool) -> EditView {
    EditView {
        name: name.to_owned(),
        value,
        revision: layout.revision,
        change_id: api::new_change_id().to_string(),
        exists,
        ..EditView::default()
    }
}

/// Updates the revision of a rejected form to the revision in force.
fn with_current_revision(view: EditView, context: &ConsoleContext) -> EditView {
    EditView { revision: context.config.active().load().revision(), ..view }
}

fn job_body(form: &Form) -> Value {
    let mut map = Map::new();
    for key in ["customer", "class", "command"] {
        map.insert(key.to_owned(), Value::from(form.get(key)));
    }
    for key in ["milli_cpus", "memory_mb", "accelerators"] {
        let text = if form.get(key).is_empty() { "0" } else { form.get(key) };
        let number = text.parse::<u64>().map_or_else(|_| Value::from(text), Value::from);
        map.insert(key.to_owned(), number);
    }
    Value::Object(map)
}
