//! Draws the measurements of simulated fleets as SVG charts.
use super::membership_simulation::MembershipMeasurements;
use plotters::coord::Shift;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, DrawingArea, IntoDrawingArea, IntoLogRange, LineSeries,
    Palette, Palette99, PathElement, SVGBackend, SeriesLabelPosition, WHITE,
};
use std::io;

/// The size of the image in pixels.
const IMAGE_SIZE: (u32, u32) = (960, 400);
/// The upper end of the y axis as a multiple of the largest value.
const Y_MARGIN: f64 = 1.15;

/// The error of a chart that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct PlotError(#[from] DrawingAreaErrorKind<io::Error>);

/// A line in a chart.
struct Series {
    label: &'static str,
    value: fn(&MembershipMeasurements) -> f64,
}

/// A chart of several series by the size of the fleet.
struct FleetChart<'a> {
    title: &'static str,
    unit: &'static str,
    series: &'a [Series],
}

const TIME_SERIES: [Series; 5] = [
    Series {
        label: "found dead: first",
        value: |fleet| fleet.detection_seconds.first,
    },
    Series {
        label: "found dead: half",
        value: |fleet| fleet.detection_seconds.median,
    },
    Series {
        label: "found dead: all",
        value: |fleet| fleet.detection_seconds.last,
    },
    Series {
        label: "stated bound",
        value: |fleet| fleet.detection_bound_seconds,
    },
    Series {
        label: "new settings known to all",
        value: |fleet| fleet.dissemination_seconds.last,
    },
];

const TRAFFIC_SERIES: [Series; 4] = [
    Series {
        label: "quiet, mean",
        value: |fleet| fleet.idle_traffic.mean,
    },
    Series {
        label: "quiet, most",
        value: |fleet| fleet.idle_traffic.max,
    },
    Series {
        label: "one found dead, most",
        value: |fleet| fleet.failure_traffic.max,
    },
    Series {
        label: "stated budget",
        value: |fleet| fleet.traffic_budget as f64,
    },
];

/// Draws the detection times and the traffic of fleets by their size.
///
/// # Errors
/// The drawing library rejected the chart.
pub fn fleet(measurements: &[MembershipMeasurements]) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, IMAGE_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let (left, right) = root.split_horizontally(IMAGE_SIZE.0 / 2);
        let times = FleetChart {
            title: "Detection and spread",
            unit: "seconds",
            series: &TIME_SERIES,
        };
        times.draw(&left, measurements)?;
        let traffic = FleetChart {
            title: "Traffic of a manager",
            unit: "bytes a second",
            series: &TRAFFIC_SERIES,
        };
        traffic.draw(&right, measurements)?;
        root.present()?;
    }
    Ok(svg)
}

impl FleetChart<'_> {
    fn draw(
        &self,
        area: &DrawingArea<SVGBackend<'_>, Shift>,
        measurements: &[MembershipMeasurements],
    ) -> Result<(), PlotError> {
        let sizes = || measurements.iter().map(|fleet| fleet.members as f64);
        let smallest = sizes().fold(f64::MAX, f64::min);
        let largest = sizes().fold(1.0, f64::max);
        let x_range = (smallest * 0.8..largest * 1.2).log_scale();
        let y_range = 0.0..self.largest_value(measurements) * Y_MARGIN;
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(x_range, y_range)?;
        chart
            .configure_mesh()
            .x_desc("managers")
            .y_desc(self.unit)
            .x_label_formatter(&|size| format!("{size:.0}"))
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let points: Vec<(f64, f64)> = measurements
                .iter()
                .map(|fleet| (fleet.members as f64, (series.value)(fleet)))
                .collect();
            chart
                .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
                .label(series.label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            let markers = points
                .into_iter()
                .map(|point| Circle::new(point, 3, color.filled()));
            chart.draw_series(markers)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .position(SeriesLabelPosition::UpperLeft)
            .draw()?;
        Ok(())
    }

    fn largest_value(&self, measurements: &[MembershipMeasurements]) -> f64 {
        measurements
            .iter()
            .flat_map(|fleet| self.series.iter().map(|series| (series.value)(fleet)))
            .fold(0.0, f64::max)
    }
}
