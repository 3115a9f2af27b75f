package org.baobabspar.daemon;

import java.util.Locale;

import org.baobabspar.usage.Settlement;

/**
 * Renders a settlement as a single HTML page with a table and a plot, for auditors.
 * Stateless and safe for any thread.
 */
final class SettlementPage {

	private static final int BAR_PIXELS = 18;

	private static final int ROW_PIXELS = 52;

	private static final int PLOT_PIXELS = 480;

	private static final int LABEL_PIXELS = 140;

	private static final int PERCENT = 100;

	private static final double MILLIS_PER_HOUR = 3_600_000;

	private SettlementPage() {
	}

	static String render(Settlement settlement) {
		StringBuilder html = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
		html.append("<title>Settlement of ").append(escape(settlement.month())).append("</title></head><body>\n");
		html.append("<h1>Settlement of ").append(escape(settlement.month())).append("</h1>\n");
		html.append(String.format(Locale.ROOT,
				"<p>%.4f slot hours by %d agent incarnations; at most %.4f slot hours missing.</p>%n",
				settlement.totalSlotMillis() / MILLIS_PER_HOUR, settlement.incarnations(),
				settlement.missingSlotMillis() / MILLIS_PER_HOUR));
		table(html, settlement);
		plot(html, settlement);
		return html.append("</body></html>\n").toString();
	}

	private static void table(StringBuilder html, Settlement settlement) {
		html.append("<table border=\"1\"><tr><th>party</th><th>agreed</th><th>used</th><th>difference</th>"
				+ "<th>slot hours</th><th>completed</th><th>failed</th></tr>\n");
		for (Settlement.Line line : settlement.lines()) {
			html.append(String.format(Locale.ROOT,
					"<tr><td>%s</td><td>%.2f%%</td><td>%.2f%%</td><td>%+.2f%%</td><td>%.4f</td><td>%d</td><td>%d</td></tr>%n",
					escape(line.party()), PERCENT * line.agreedShare(), PERCENT * line.usedShare(),
					PERCENT * line.difference(), line.count().slotMillis() / MILLIS_PER_HOUR, line.count().completed(),
					line.count().failed()));
		}
		html.append("</table>\n");
	}

	private static void plot(StringBuilder html, Settlement settlement) {
		html.append(
				String.format("<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"agreed and used share\">%n",
						LABEL_PIXELS + PLOT_PIXELS, ROW_PIXELS * settlement.lines().size()));
		int y = 0;
		for (Settlement.Line line : settlement.lines()) {
			html.append(String.format("<text x=\"0\" y=\"%d\">%s</text>%n", y + BAR_PIXELS, escape(line.party())));
			bar(html, y, line.agreedShare(), "#bbb", "agreed");
			bar(html, y + BAR_PIXELS + 2, line.usedShare(), "#369", "used");
			y += ROW_PIXELS;
		}
		html.append("</svg>\n");
	}

	private static void bar(StringBuilder html, int y, double share, String colour, String title) {
		html.append(String.format(Locale.ROOT,
				"<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%s %.2f%%</title></rect>%n",
				LABEL_PIXELS, y, PLOT_PIXELS * share, BAR_PIXELS, colour, title, PERCENT * share));
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

}
