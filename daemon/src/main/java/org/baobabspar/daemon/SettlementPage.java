package org.baobabspar.daemon;

import java.util.Locale;

import org.baobabspar.usage.Settlement;

/**
 * Renders a settlement as one HTML page with a plot, for auditors. Stateless and safe for
 * any thread.
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

	static String render(Settlement t) {
		StringBuilder b = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
		b.append("<title>Settlement of ").append(escape(t.month())).append("</title></head><body>\n");
		b.append("<h1>Settlement of ").append(escape(t.month())).append("</h1>\n");
		b.append(String.format(Locale.ROOT,
				"<p>%.4f slot hours by %d agent incarnations; at most %.4f slot hours missing.</p>%n",
				t.totalSlotMillis() / MILLIS_PER_HOUR, t.incarnations(), t.missingSlotMillis() / MILLIS_PER_HOUR));
		table(b, t);
		plot(b, t);
		return b.append("</body></html>\n").toString();
	}

	private static void table(StringBuilder b, Settlement t) {
		b.append("<table border=\"1\"><tr><th>party</th><th>agreed</th><th>used</th><th>difference</th>"
				+ "<th>slot hours</th><th>completed</th><th>failed</th></tr>\n");
		for (Settlement.Line l : t.lines()) {
			b.append(String.format(Locale.ROOT,
					"<tr><td>%s</td><td>%.2f%%</td><td>%.2f%%</td><td>%+.2f%%</td><td>%.4f</td><td>%d</td><td>%d</td></tr>%n",
					escape(l.party()), PERCENT * l.agreedShare(), PERCENT * l.usedShare(), PERCENT * l.difference(),
					l.count().slotMillis() / MILLIS_PER_HOUR, l.count().completed(), l.count().failed()));
		}
		b.append("</table>\n");
	}

	private static void plot(StringBuilder b, Settlement t) {
		b.append(String.format("<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"agreed and used share\">%n",
				LABEL_PIXELS + PLOT_PIXELS, ROW_PIXELS * t.lines().size()));
		int y = 0;
		for (Settlement.Line l : t.lines()) {
			b.append(String.format("<text x=\"0\" y=\"%d\">%s</text>%n", y + BAR_PIXELS, escape(l.party())));
			bar(b, y, l.agreedShare(), "#bbb", "agreed");
			bar(b, y + BAR_PIXELS + 2, l.usedShare(), "#369", "used");
			y += ROW_PIXELS;
		}
		b.append("</svg>\n");
	}

	private static void bar(StringBuilder b, int y, double share, String colour, String title) {
		b.append(String.format(Locale.ROOT,
				"<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"><title>%s %.2f%%</title></rect>%n",
				LABEL_PIXELS, y, PLOT_PIXELS * share, BAR_PIXELS, colour, title, PERCENT * share));
	}

	private static String escape(String s) {
		return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

}
