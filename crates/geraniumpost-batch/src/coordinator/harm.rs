//! How much what fills a minion slows what serves there, learnt pair by pair.
//!
//! Tasks that share a minion disturb each other by amounts that no declaration tells. Measured on a
//! fleet of eleven minions, nearly all of it comes from few pairs of images: one image that fills
//! adds a tenth of the latency bound for each processor it uses beside one image that serves, and
//! nothing beside another. So a model of pairs decides where to fill and whom to pace.

use std::collections::BTreeMap;

use geraniumpost_core::placement::HarmModel;
use geraniumpost_schema::Name;

use super::Coordinator;
use super::minion::Minion;
use crate::{Now, TaskId};

/// Load that the model is told: minions do not report it, so its swing is part of the residual.
const LOAD: f64 = 0.5;
/// Highest tail taken in, in bounds. Beyond it a queue has built up, and the figure says more about
/// how long than about who.
const HIGHEST: f64 = 3.0;
/// Share of the newest residual in the one that is kept.
const FRESH: f64 = 0.3;
/// Predicted tail in bounds up to which a minion is as good as any other.
const HARMLESS: f64 = 0.8;
/// Predicted tail in bounds from which on a minion is the last choice.
const HARMFUL: f64 = 1.1;

/// What a minion's serving tasks of one image have shown.
#[derive(Debug, Clone, Default)]
pub(super) struct Serving {
    /// Runs of the image.
    pub(super) runs: u32,
    /// Their worst tail in bounds at the last look.
    pub(super) tail: f64,
    /// How far it lies over the prediction, smoothed: the image's own load, above all.
    pub(super) residual: f64,
}

impl Coordinator {
    /// Learns from a minion's gauges.
    pub(super) fn observe_harm(&mut self, id: &Name, now: Now) {
        let Some(minion) = self.minions.get(id) else { return };
        let (mut tails, mut ran) = (BTreeMap::<Name, f64>::new(), Vec::new());
        let mut over = Vec::new();
        for task in &minion.runs {
            let (Some(run), Some(step)) = (self.runs.get(task), self.step_spec(*task)) else {
                continue;
            };
            if step.serves() && run.percent == 100 {
                let tail = f64::from(run.gauge) / f64::from(step.latency_bound_ms);
                let worst = tails.entry(step.image.clone()).or_default();
                *worst = worst.max(tail);
                over.push((*task, tail > 1.0));
            } else if step.fills && run.started_ms.is_some() {
                ran.push((step.image.clone(), f64::from(run.gauge)));
            }
        }
        let mut longest_ms = 0;
        for (task, is_over) in over {
            let Some(run) = self.runs.get_mut(&task) else { continue };
            run.over_ms = is_over.then(|| run.over_ms.unwrap_or(now.steady_ms));
            let since = run.over_ms.map_or(0, |since| now.steady_ms - since + 1);
            longest_ms = longest_ms.max(since);
        }
        if let Some(minion) = self.minions.get_mut(id) {
            minion.over_for_ms = longest_ms;
        }
        let ran: Vec<_> =
            ran.into_iter().map(|(image, cpus)| (self.harm.class(&image), cpus)).collect();
        for (image, tail) in tails {
            let excess = self.harm.observe(&image, LOAD, &ran, tail.min(HIGHEST));
            let Some(minion) = self.minions.get_mut(id) else { return };
            let serving = minion.serving_images.entry(image).or_default();
            serving.tail = tail;
            serving.residual = serving.residual * (1.0 - FRESH) + excess * FRESH;
        }
    }

    /// Returns how suited a minion is to be filled with a task, from 0 to 1, by the worst tail that
    /// is to be expected beside it.
    pub(super) fn harmlessness(&self, minion: &Minion, image: &Name, milli_cpus: i64) -> f64 {
        if minion.serving_images.is_empty() {
            return 1.0;
        }
        let mut ran: Vec<(usize, f64)> = minion
            .fill_images
            .iter()
            .map(|(image, filling)| (self.harm.known_class(image), filling.working()))
            .collect();
        ran.push((self.harm.known_class(image), milli_cpus as f64));
        let tail = |(image, serving): (&Name, &Serving)| {
            self.harm.predict(image, LOAD, &ran) + serving.residual.max(0.0)
        };
        let worst = minion.serving_images.iter().map(tail).fold(0.0, f64::max);
        ((HARMFUL - worst) / (HARMFUL - HARMLESS)).clamp(0.02, 1.0)
    }

    /// Returns what each filling image adds to the tail of a serving one on a minion, in bounds,
    /// the worst first.
    pub(super) fn blame(&self, minion: &Minion, serving: &Name) -> Vec<(Name, f64)> {
        let adds = |(image, filling): (&Name, &super::minion::Filling)| {
            let class = self.harm.known_class(image);
            let slope = self.harm.slope(serving, class);
            (image.clone(), slope * HarmModel::strength(filling.working(), LOAD))
        };
        let mut blame: Vec<_> = minion.fill_images.iter().map(adds).collect();
        blame.sort_by(|a, b| b.1.total_cmp(&a.1));
        blame
    }

    /// Enters or removes a run in what serves and what fills on its minion.
    pub(super) fn count_images(&mut self, task: TaskId, id: &Name, enters: bool) {
        let Some(step) = self.step_spec(task).cloned() else { return };
        let Some(minion) = self.minions.get_mut(id) else { return };
        let change = if enters { 1 } else { -1 };
        if step.fills {
            let filling = minion.fill_images.entry(step.image.clone()).or_default();
            filling.runs += change;
            filling.milli_cpus += i64::from(change) * step.demand.milli_cpus;
            if filling.runs <= 0 {
                minion.fill_images.remove(&step.image);
            }
        } else if step.serves() {
            let serving = minion.serving_images.entry(step.image.clone()).or_default();
            serving.runs = serving.runs.saturating_add_signed(change);
            if serving.runs == 0 {
                minion.serving_images.remove(&step.image);
            }
        }
    }
}
