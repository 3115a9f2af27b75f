import java.nio.file.Path;

/** Plays a case and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Scenario {

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	/** Returns whether the rule held. */
	abstract boolean play(Record record) throws Exception;

	static void main(Scenario scenario, String[] args) {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		Record record = new Record(Path.of(args[0]));
		int status = 2;
		try {
			record.add("disruption: " + (scenario.trouble ? "yes" : "no"));
			boolean held = scenario.play(record);
			record.add(held ? "the rule held" : "the rule was broken");
			status = held ? 0 : 1;
		}
		catch (Exception ex) {
			record.add("could not run: " + ex);
		}
		System.exit(status);
	}

}
