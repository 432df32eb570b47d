//! A measured series: its points and the straight line through them.

use std::time::Instant;

/// `Series` collects points of one measure over one size.
#[derive(Debug)]
pub struct Series {
    name: &'static str,
    size: &'static str,
    unit: &'static str,
    points: Vec<Point>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    size: f64,
    value: f64,
}

impl Series {
    /// `new` names the measure, what its size counts, and its unit.
    pub fn new(name: &'static str, size: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            size,
            unit,
            points: Vec::new(),
        }
    }

    /// `point` adds a measured value.
    #[expect(clippy::cast_precision_loss, reason = "sizes stay far below 2^52")]
    pub fn point(&mut self, size: usize, value: f64) {
        self.points.push(Point {
            size: size as f64,
            value,
        });
    }

    /// `bytes` adds a measured length.
    #[expect(clippy::cast_precision_loss, reason = "lengths stay far below 2^52")]
    pub fn bytes(&mut self, size: usize, length: usize) {
        self.point(size, length as f64);
    }

    /// `print` writes the points and the fit in one line.
    pub fn print(&self) {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|point| format!("{}:{:.1}", point.size, point.value))
            .collect();
        let (fixed, slope) = self.fit();
        println!(
            "series={} size={} unit={} points={} fixed={fixed:.1} slope={slope:.4}",
            self.name,
            self.size,
            self.unit,
            points.join(",")
        );
    }

    fn fit(&self) -> (f64, f64) {
        let count: f64 = self.points.iter().map(|_| 1.0).sum();
        let mean = |pick: fn(&Point) -> f64| self.points.iter().map(pick).sum::<f64>() / count;
        let size_mean = mean(|point| point.size);
        let value_mean = mean(|point| point.value);
        let mut product = 0.0;
        let mut square = 0.0;
        for point in &self.points {
            product += (point.size - size_mean) * (point.value - value_mean);
            square += (point.size - size_mean).powi(2);
        }
        let slope = product / square;
        (value_mean - slope * size_mean, slope)
    }
}

/// `micros` gives the median time of one call over several rounds.
pub fn micros<T>(rounds: usize, mut call: impl FnMut() -> T) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(call());
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
