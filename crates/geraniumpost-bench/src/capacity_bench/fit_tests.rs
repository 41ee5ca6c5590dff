//! Fitted lines compared to values calculated by hand.

use super::fit::Fit;

macro_rules! cases {
    ($($name:ident: $points:expr => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let fit = Fit::new(&$points);
                let (slope, base, error, r2) = $expected;
                for (actual, expected) in
                    [(fit.slope, slope), (fit.base, base), (fit.error, error), (fit.r2, r2)]
                {
                    let same = actual.total_cmp(&expected).is_eq();
                    assert!(same || (actual - expected).abs() < 1e-9, "{fit:?}");
                }
            }
        )+
    };
}

cases! {
    points_on_a_line_have_no_residuals:
        [(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)] => (2.0, 1.0, 0.0, 1.0);
    residuals_increase_the_error:
        [(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)] => (0.5, 0.5, 0.75_f64.sqrt(), 0.25);
    two_points_have_an_infinite_error:
        [(0.0, 0.0), (1.0, 1.0)] => (1.0, 0.0, f64::INFINITY, 1.0);
}

#[test]
fn a_line_extrapolates_beyond_its_points() {
    let fit = Fit::new(&[(0.0, 1.0), (100.0, 51.0), (200.0, 101.0)]);
    assert!((fit.at(570.0) - 286.0).abs() < 1e-9);
}
