//! Linear regression.

/// A straight line fitted by least squares.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Line {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
    /// The coefficient of determination, the share of the variance that the line explains.
    pub(crate) r2: f64,
}

impl Line {
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mx = points.iter().map(|p| p.0).sum::<f64>() / n;
        let my = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sxy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
        let sxx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let syy: f64 = points.iter().map(|p| (p.1 - my).powi(2)).sum();
        let slope = sxy / sxx;
        Line {
            intercept: my - slope * mx,
            slope,
            r2: if syy > 0.0 {
                sxy * sxy / (sxx * syy)
            } else {
                1.0
            },
        }
    }

    pub(crate) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
