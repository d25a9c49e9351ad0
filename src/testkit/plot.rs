//! Plots of what the kit measured, as SVG.
use super::membership_simulation::Figures;
use plotters::prelude::*;

/// A line of a chart: its name, and its value for a fleet.
type Series = (&'static str, fn(&Figures) -> f64);

fn chart<DB: DrawingBackend>(
    area: &DrawingArea<DB, plotters::coord::Shift>,
    title: &str,
    unit: &str,
    figures: &[Figures],
    series: &[Series],
) -> Result<(), String>
where
    DB::ErrorType: 'static,
{
    let one = |e: DrawingAreaErrorKind<DB::ErrorType>| e.to_string();
    let sizes = figures.iter().map(|f| f.members as f64);
    let (least, most) = (
        sizes.clone().fold(f64::MAX, f64::min),
        sizes.fold(1.0, f64::max),
    );
    let top = figures
        .iter()
        .flat_map(|f| series.iter().map(|(_, of)| of(f)))
        .fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d((least * 0.8..most * 1.2).log_scale(), 0.0..top * 1.15)
        .map_err(one)?;
    let mesh = &mut chart.configure_mesh();
    mesh.x_desc("managers")
        .y_desc(unit)
        .x_label_formatter(&|x| format!("{x:.0}"))
        .draw()
        .map_err(one)?;
    for (at, (name, of)) in series.iter().enumerate() {
        let colour = Palette99::pick(at).to_rgba();
        let points: Vec<(f64, f64)> = figures.iter().map(|f| (f.members as f64, of(f))).collect();
        let line = chart
            .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))
            .map_err(one)?;
        line.label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        chart
            .draw_series(
                points
                    .into_iter()
                    .map(|p| Circle::new(p, 3, colour.filled())),
            )
            .map_err(one)?;
    }
    let labels = &mut chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperLeft);
    labels.draw().map_err(one)
}

/// Detection, spread and traffic of fleets by their size.
pub fn fleet(figures: &[Figures]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (960, 400)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| e.to_string())?;
        let (left, right) = root.split_horizontally(480);
        let times: [Series; 5] = [
            ("found dead: first", |f| f.found_s.0),
            ("found dead: half", |f| f.found_s.1),
            ("found dead: all", |f| f.found_s.2),
            ("stated bound", |f| f.bound_s),
            ("new settings known to all", |f| f.spread_s.1),
        ];
        chart(&left, "Detection and spread", "seconds", figures, &times)?;
        let bytes: [Series; 4] = [
            ("quiet, mean", |f| f.quiet.0),
            ("quiet, most", |f| f.quiet.1),
            ("one found dead, most", |f| f.busy.1),
            ("stated budget", |f| f.budget as f64),
        ];
        chart(
            &right,
            "Traffic of a manager",
            "bytes a second",
            figures,
            &bytes,
        )?;
        root.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}
