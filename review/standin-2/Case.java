import java.io.IOException;
import java.nio.file.Path;

/** Runs a case and turns its outcome into the exit status of the process. Stateless. */
final class Case {

	private static final int HELD = 0;

	private static final int BROKEN = 1;

	private static final int COULD_NOT_RUN = 2;

	private Case() {
	}

	/**
	 * Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
	 * @param args the file of the record, and {@code disruption=1}, or {@code disruption=0} to leave it out
	 * @param deployment creates the deployment
	 * @param check plays the case
	 */
	static void main(String[] args, DeploymentFactory deployment, Check check) throws IOException {
		Record record = new Record(Path.of(args[0]));
		boolean trouble = args[1].equals("disruption=1");
		if (!trouble && !args[1].equals("disruption=0")) {
			throw new IllegalArgumentException(args[1]);
		}
		record.line(args[1]);
		int status = COULD_NOT_RUN;
		try (Deployment started = deployment.create(record)) {
			Runtime.getRuntime().addShutdownHook(new Thread(started::killAll));
			if (started.start()) {
				status = check.holds(started, trouble) ? HELD : BROKEN;
			}
		}
		catch (Exception | Error ex) {
			record.line("could not run: " + ex);
		}
		record.line("exit=" + status);
		System.exit(status);
	}

	/** Creates the deployment of a case. */
	interface DeploymentFactory {

		Deployment create(Record record) throws Exception;

	}

	/** Plays a case. */
	interface Check {

		/** Returns whether the rule held, or throws if the case could not run. */
		boolean holds(Deployment deployment, boolean trouble) throws Exception;

	}

}
