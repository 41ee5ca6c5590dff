use std::collections::BTreeMap;

use geraniumpost_schema::Name;
use slotmap::SecondaryMap;

use super::gauge::Gauge;
use super::interference_model::InterferenceModel;
use super::{Fleet, WorkerKey, WorkerView};

/// Predicted p99 of each worker's service, remade only where something has changed.
#[derive(Debug, Clone, Default)]
pub struct Forecasts {
    known: SecondaryMap<WorkerKey, Forecast>,
}

#[derive(Debug, Clone, Copy)]
struct Forecast {
    version: u64,
    p99: f64,
}

impl Forecasts {
    /// Returns a worker's predicted p99 in targets, with the tasks it has now.
    pub fn of(
        &mut self,
        key: WorkerKey,
        version: u64,
        fleet: &Fleet,
        model: &InterferenceModel,
        gauges: &BTreeMap<Name, Gauge>,
    ) -> f64 {
        if let Some(known) = self.known.get(key).filter(|known| known.version == version) {
            return known.p99;
        }
        let view = fleet.view(key);
        let excess = gauges.get(&view.name).map_or(0.0, |gauge| gauge.excess);
        let p99 = predict(view, model) + excess.max(0.0);
        self.known.insert(key, Forecast { version, p99 });
        p99
    }
}

/// Returns what the model says of a worker's service with the tasks it has now.
fn predict(view: &WorkerView, model: &InterferenceModel) -> f64 {
    let Some(service) = &view.service else { return 0.0 };
    let load = f64::from(view.load_permille) / 1000.0;
    let ran: Vec<(usize, f64)> =
        view.tasks.iter().map(|t| (model.known_class(&t.class), t.active_milli_cpus())).collect();
    model.predict(service, load, &ran)
}
