package org.dogwoodwinch.replay;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots goodput over time, with the first policy's role changes as vertical lines. */
public final class GoodputPlot {

    private static final int WIDTH_PIXELS = 1_200;
    private static final int HEIGHT_PIXELS = 600;
    private static final double BIN_SECONDS = 10;

    private GoodputPlot() {}

    /**
     * Writes a plot.
     *
     * @param title the title, not null
     * @param results one trace's results, our own first, not null
     * @param file the PNG file, not null
     * @throws IOException if the file cannot be written
     */
    public static void write(String title, List<ReplayResult> results, Path file) throws IOException {
        XYSeriesCollection lines = new XYSeriesCollection();
        for (ReplayResult result : results) {
            XYSeries line = new XYSeries(result.policy());
            for (int i = 0; i < result.goodByBin().size(); i++) {
                line.add(i * BIN_SECONDS, result.goodByBin().get(i) / BIN_SECONDS);
            }
            lines.addSeries(line);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(title, "seconds", "answers in time a second", lines);
        for (long changeMillis : results.get(0).roleChangesMillis()) {
            chart.getXYPlot()
                    .addDomainMarker(new ValueMarker(
                            changeMillis / 1_000.0,
                            Color.GRAY,
                            chart.getXYPlot().getDomainGridlineStroke()));
        }
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }
}
