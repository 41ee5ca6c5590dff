//! Pages that an operator opens and forms that they send.

use geraniumpost_config::{Report, Schema, SchemaKind, check_document_value, token_digest};
use geraniumpost_schema::{Document, Name};
use serde_json::{Map, Value};

use super::form::Form;
use super::identity::{csrf_token, known, own_form};
use super::pages::{self, EditView, Frame, Section};
use super::route::{job_id, label};
use super::{ApiCode, ApiError, Call, ConsoleContext, JobCall, Reply, api, api_jobs};

/// How long a browser keeps the token.
const COOKIE_SECONDS: u32 = 12 * 3600;
/// Part of a path that stands for a value yet to be named.
const NEW: &str = "+new";

/// Answers a page; who is not known is sent to sign in.
pub(super) async fn page(call: &Call, parts: &[String], context: &ConsoleContext) -> Reply {
    let Some(operator) = known(call.token(), context) else {
        return match parts {
            [only] if only == "login" => {
                Reply::page(200, pages::login(&frame(call, "", context), false))
            }
            _ => Reply::see("/login"),
        };
    };
    let frame = frame(call, &operator, context);
    let shown = show(call, parts, operator, &frame, context).await;
    shown.unwrap_or_else(|error| Reply::page(error.status, pages::failure(&frame, &error)))
}

/// Takes a form.
pub(super) async fn post(call: &Call, parts: &[String], context: &ConsoleContext) -> Reply {
    let form = Form::parse(&call.body);
    if parts == ["login"] {
        return sign_in(call, &form, context);
    }
    let Some(operator) = known(call.token(), context) else { return Reply::see("/login") };
    let frame = frame(call, &operator, context);
    let taken = match own_form(call, form.get("proof")) {
        Ok(()) => take(call, parts, &form, operator, &frame, context).await,
        Err(error) => Err(error),
    };
    taken.unwrap_or_else(|error| Reply::page(error.status, pages::failure(&frame, &error)))
}

fn frame(call: &Call, operator: &str, context: &ConsoleContext) -> Frame {
    Frame {
        entry: context.name.to_string(),
        operator: operator.to_owned(),
        revision: context.config.active().load().revision(),
        proof: csrf_token(call.token()),
    }
}

fn sign_in(call: &Call, form: &Form, context: &ConsoleContext) -> Reply {
    let token = form.get("token");
    if call.cross_origin || known(token, context).is_none() {
        return Reply::page(401, pages::login(&frame(call, "", context), true));
    }
    Reply::see("/").cookie(&super::call::cookie_value(token), COOKIE_SECONDS)
}

async fn show(
    call: &Call,
    parts: &[String],
    operator: Name,
    frame: &Frame,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let schema = Schema::of(SchemaKind::Document);
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let markup = match parts.as_slice() {
        [] => pages::home(frame, &api::status(context), &api::in_force(context)),
        ["login"] => return Ok(Reply::see("/")),
        ["config"] => pages::overview(frame, &document(context)),
        ["config", "policy"] => {
            let value = document(context)["policy"].clone();
            pages::policy(frame, schema, &view(frame, "", value, true))
        }
        ["config", key] => pages::section(frame, section(key)?, schema, &document(context)),
        ["config", key, name] => {
            let section = section(key)?;
            let value = document(context)[section.key][*name].clone();
            let exists = !value.is_null();
            if !exists && *name != NEW {
                return Err(ApiCode::NotFound.into());
            }
            let name = if exists { name } else { "" };
            pages::edit(frame, section, schema, &view(frame, name, value, exists))
        }
        ["jobs"] => {
            let list = api_jobs::ask(JobCall::List, call, operator, context).await?;
            pages::jobs(frame, &list, &document(context))
        }
        ["jobs", id] => {
            let id = job_id(id)?;
            let status = JobCall::Status { id: id.clone() };
            let status = api_jobs::ask(status, call, operator.clone(), context).await?;
            let explain = JobCall::Explain { id: id.clone() };
            let explain = api_jobs::ask(explain, call, operator, context).await?;
            pages::job(frame, &id, &status, &explain)
        }
        _ => return Err(ApiCode::NotFound.into()),
    };
    Ok(Reply::page(200, markup))
}

async fn take(
    call: &Call,
    parts: &[String],
    form: &Form,
    operator: Name,
    frame: &Frame,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    match parts.as_slice() {
        ["logout"] => Ok(Reply::see("/login").cookie("", 0)),
        ["config", "policy"] => save_policy(form, operator, frame, context).await,
        ["config", key] => save(section(key)?, form, operator, frame, context).await,
        ["config", key, name, "delete"] => {
            remove(section(key)?, name, form, operator, context).await
        }
        ["jobs"] => {
            let id = job_id(form.get("id"))?;
            let body = job_body(form).to_string();
            let submit = api_jobs::submission(id.clone(), body.as_bytes(), context)?;
            api_jobs::ask(submit, call, operator, context).await?;
            Ok(Reply::see(&format!("/jobs/{id}")))
        }
        ["jobs", id, "cancel"] => {
            let id = job_id(id)?;
            let cancel = JobCall::Cancel { id: id.clone() };
            api_jobs::ask(cancel, call, operator, context).await?;
            Ok(Reply::see(&format!("/jobs/{id}")))
        }
        _ => Err(ApiCode::NotFound.into()),
    }
}

/// Saves one named value.
async fn save(
    section: Section,
    form: &Form,
    operator: Name,
    frame: &Frame,
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
        Saved::Done => Ok(Reply::see(&format!("/config/{}", section.key))),
        Saved::Not(report, error) => {
            let view =
                EditView { problems: report.problems, error, ..view(frame, name, value, known) };
            let page = pages::edit(frame, section, schema, &refreshed(view, context));
            Ok(Reply::page(422, page))
        }
    }
}

async fn save_policy(
    form: &Form,
    operator: Name,
    frame: &Frame,
    context: &ConsoleContext,
) -> Result<Reply, ApiError> {
    let schema = Schema::of(SchemaKind::Document);
    let value = form.value(schema, &schema.definitions()["Policy"], "");
    let item = value.clone();
    match commit(form, operator, context, |document| document["policy"] = item).await? {
        Saved::Done => Ok(Reply::see("/config/policy")),
        Saved::Not(report, error) => {
            let view =
                EditView { problems: report.problems, error, ..view(frame, "", value, true) };
            Ok(Reply::page(422, pages::policy(frame, schema, &refreshed(view, context))))
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
        Saved::Done => Ok(Reply::see(&format!("/config/{}", section.key))),
        Saved::Not(_, Some(error)) => Err(error),
        Saved::Not(report, None) => Err(api::invalid(&report)),
    }
}

/// What became of a form that changes the configuration.
enum Saved {
    Done,
    Not(Report, Option<ApiError>),
}

/// Changes the document that the form was made from and commits it.
async fn commit(
    form: &Form,
    operator: Name,
    context: &ConsoleContext,
    change: impl FnOnce(&mut Value),
) -> Result<Saved, ApiError> {
    let malformed = |_| ApiError::from(ApiCode::Malformed).message("The form has no revision.");
    let based_on: u64 = form.get("revision").parse().map_err(malformed)?;
    let change_id = label(form.get("change_id"))?;
    let mut value = base(based_on, context).await?;
    change(&mut value);
    let document = match check_document_value(value) {
        Ok(document) => document,
        Err(report) => return Ok(Saved::Not(report, None)),
    };
    match api::commit(context, change_id, operator, based_on, document).await {
        Ok(_) => Ok(Saved::Done),
        Err(error) if error.code == ApiCode::Conflict.number() => {
            Ok(Saved::Not(Report::default(), Some(error)))
        }
        Err(error) => Err(error),
    }
}

/// Returns the document that a form is to change.
///
/// Another entry may have served the form and be ahead of this one. A change made on this entry's
/// older document would then undo what came between, although its revision is right, so the store
/// is asked first. A document newer than the form's is never written: the store's revision differs.
async fn base(based_on: u64, context: &ConsoleContext) -> Result<Value, ApiError> {
    if context.config.active().load().revision() < based_on {
        let down = |_| ApiError::from(ApiCode::StoreDown);
        context.config.refresh(&context.store).await.map_err(down)?;
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

fn view(frame: &Frame, name: &str, value: Value, exists: bool) -> EditView {
    EditView {
        name: name.to_owned(),
        value,
        revision: frame.revision,
        change_id: api::new_change_id().to_string(),
        exists,
        ..EditView::default()
    }
}

/// Makes a form that was not saved start from what is in force now.
fn refreshed(view: EditView, context: &ConsoleContext) -> EditView {
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
