use std::collections::BTreeMap;

use geraniumpost_schema::Name;
use slotmap::SecondaryMap;

use super::interference_model::InterferenceModel;
use super::smoothed_latency::SmoothedLatency;
use super::{Fleet, WorkerKey, WorkerView};

/// Cache of the predicted p99 of each worker's service, valid until the worker changes.
#[derive(Debug, Clone, Default)]
pub struct LatencyForecasts {
    cached: SecondaryMap<WorkerKey, Forecast>,
}

#[derive(Debug, Clone, Copy)]
struct Forecast {
    /// Version of the worker's row for which the p99 was computed.
    version: u64,
    p99: f64,
}

impl LatencyForecasts {
    /// Returns the predicted p99, as a multiple of the target, of a worker's service with the
    /// current tasks. The recent excess of measurements over the model's prediction is added if
    /// positive.
    pub fn get(
        &mut self,
        key: WorkerKey,
        version: u64,
        fleet: &Fleet,
        model: &InterferenceModel,
        latencies: &BTreeMap<Name, SmoothedLatency>,
    ) -> f64 {
        if let Some(cached) = self.cached.get(key).filter(|cached| cached.version == version) {
            return cached.p99;
        }
        let view = fleet.view(key);
        let excess = latencies.get(&view.name).map_or(0.0, |latency| latency.excess);
        let p99 = predict(view, model) + excess.max(0.0);
        self.cached.insert(key, Forecast { version, p99 });
        p99
    }
}

/// Returns the model's prediction for a worker's service with the current tasks, or 0 if there is
/// no service.
fn predict(view: &WorkerView, model: &InterferenceModel) -> f64 {
    let Some(service) = &view.service else { return 0.0 };
    let load = f64::from(view.load_permille) / 1000.0;
    let tasks: Vec<(usize, f64)> =
        view.tasks.iter().map(|t| (model.class_index(&t.class), t.active_milli_cpus())).collect();
    model.predict(service, load, &tasks)
}
