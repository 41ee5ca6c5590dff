use geraniumpost_schema::{AgentSettings, Document, EntrySettings, Name, Reserve};

use crate::{Code, Problem, Report};

/// Checks the settings of an agent against the document in force.
///
/// Settings and document change at different times and by different hands, so this is checked
/// whenever a document is adopted, not only at start.
///
/// # Errors
///
/// Returns every way in which the two contradict each other.
pub fn check_membership(settings: &AgentSettings, document: &Document) -> Result<(), Report> {
    let mut problems = place(&settings.domain, &settings.region, document);
    if let Some(service) = &settings.service {
        match document.services.get(service) {
            None => problems.push(unknown("service", service, document.services.keys())),
            Some(known) => problems.extend(reserve(settings, service, &known.reserve)),
        }
    }
    Report::from(problems).or(())
}

/// Checks the settings of an entry against the document in force.
///
/// # Errors
///
/// Returns every way in which the two contradict each other.
pub fn check_entry_membership(settings: &EntrySettings, document: &Document) -> Result<(), Report> {
    Report::from(place(&settings.domain, &settings.region, document)).or(())
}

fn place(domain: &Name, region: &Name, document: &Document) -> Vec<Problem> {
    let Some(known) = document.domains.get(domain) else {
        return vec![unknown("domain", domain, document.domains.keys())];
    };
    if known.region == *region {
        return Vec::new();
    }
    let message = format!("The document puts `{domain}` in region `{}`.", known.region);
    vec![Problem::new(Code::RegionMismatch, "region").message(message)]
}

fn unknown<'a>(key: &str, name: &Name, known: impl Iterator<Item = &'a Name>) -> Problem {
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

/// Without a worker nothing competes with the service, so its VM needs no stated size.
fn reserve(settings: &AgentSettings, service: &Name, reserve: &Reserve) -> Vec<Problem> {
    if settings.worker.is_none() {
        return Vec::new();
    }
    let pairs = [
        ("milli_cpus", reserve.milli_cpus, settings.milli_cpus),
        ("memory_mb", reserve.memory_mb, settings.memory_mb),
        ("accelerators", u64::from(reserve.accelerators), u64::from(settings.accelerators)),
    ];
    let over = pairs.into_iter().filter(|(_, kept, size)| kept > size);
    over.map(|(key, kept, size)| {
        let message = format!("`{service}` reserves {kept} {key}, the VM has {size}.");
        Problem::new(Code::ReserveOverCapacity, key).message(message)
    })
    .collect()
}
