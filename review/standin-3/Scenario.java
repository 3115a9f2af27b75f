import java.nio.file.Path;

/**
 * Plays a case and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The arguments are the
 * file of the record and disruption=0 or disruption=1.
 */
abstract class Scenario {

	boolean trouble;

	/** Returns whether the rule held. */
	abstract boolean play(Record record) throws Exception;

	static void main(Scenario scenario, String[] args) {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		Record record = new Record(Path.of(args[0]));
		int status = 2;
		try {
			scenario.trouble = switch (args[1]) {
				case "disruption=0" -> false;
				case "disruption=1" -> true;
				default -> throw new IllegalArgumentException(args[1]);
			};
			record.add("disruption: " + (scenario.trouble ? "yes" : "no"));
			boolean held = scenario.play(record);
			record.add(held ? "the rule held" : "the rule was broken");
			status = held ? 0 : 1;
		}
		catch (Throwable ex) {
			record.add("could not run: " + ex);
		}
		record.add("exit=" + status);
		System.exit(status);
	}

}
