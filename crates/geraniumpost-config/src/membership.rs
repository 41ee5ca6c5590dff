use geraniumpost_schema::{AgentSettings, Document, EntrySettings, Name, Reserve};

use crate::{Code, Problem, Report};

/// Checks the settings of an agent against the document in force.
///
/// Settings and document are changed independently, so this is checked whenever a document is
/// adopted, not only at start.
///
/// # Errors
///
/// Returns all contradictions between settings and document.
pub fn check_membership(settings: &AgentSettings, document: &Document) -> Result<(), Report> {
    let mut problems = check_domain(&settings.domain, &settings.region, document);
    if let Some(service) = &settings.service {
        match document.services.get(service) {
            None => problems.push(unknown_name("service", service, document.services.keys())),
            Some(known) => problems.extend(check_reserve(settings, service, &known.reserve)),
        }
    }
    Report::from(problems).into_result(())
}

/// Checks the settings of an entry against the document in force.
///
/// # Errors
///
/// Returns all contradictions between settings and document.
pub fn check_entry_membership(settings: &EntrySettings, document: &Document) -> Result<(), Report> {
    Report::from(check_domain(&settings.domain, &settings.region, document)).into_result(())
}

fn check_domain(domain: &Name, region: &Name, document: &Document) -> Vec<Problem> {
    let Some(known) = document.domains.get(domain) else {
        return vec![unknown_name("domain", domain, document.domains.keys())];
    };
    if known.region == *region {
        return Vec::new();
    }
    let message = format!("The document puts `{domain}` in region `{}`.", known.region);
    vec![Problem::new(Code::RegionMismatch, "region").message(message)]
}

fn unknown_name<'a>(key: &str, name: &Name, known: impl Iterator<Item = &'a Name>) -> Problem {
    let code = if key == "service" { Code::ServiceUnknown } else { Code::DomainUnknown };
    let names: Vec<String> = known.map(|name| format!("`{name}`")).collect();
    let message = format!("The document does not know the {key} `{name}`.");
    let advice = if names.is_empty() {
        format!("Add the {key} to the document.")
    } else {
        format!("Use one of {}, or add it to the document.", names.join(", "))
    };
    Problem::new(code, key).message(message).advice(advice)
}

/// Checks that the VM is large enough for the reserve of the service. Without a worker no batch
/// work competes with the service, so the settings need not state the size of the VM.
fn check_reserve(settings: &AgentSettings, service: &Name, reserve: &Reserve) -> Vec<Problem> {
    if settings.worker.is_none() {
        return Vec::new();
    }
    let amounts = [
        ("milli_cpus", reserve.milli_cpus, settings.milli_cpus),
        ("memory_mb", reserve.memory_mb, settings.memory_mb),
        ("accelerators", u64::from(reserve.accelerators), u64::from(settings.accelerators)),
    ];
    let over = amounts.into_iter().filter(|(_, reserved, size)| reserved > size);
    over.map(|(key, reserved, size)| {
        let message = format!("`{service}` reserves {reserved} {key}, the VM has {size}.");
        Problem::new(Code::ReserveExceedsVm, key).message(message)
    })
    .collect()
}
