package org.baobabspar.document;

import java.util.List;

import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Environment documents and the history of their records.
 */
public class DocumentTests {

	private static final String GOOD = "{'environment':'e','parties':[{'name':'p','share':0.5,'maxWaitingTasks':10}],"
			+ "'classes':[{'name':'c','urgency':0,'queueBoundMillis':10,'idempotent':true,'floor':0}],"
			+ "'limits':{'headroom':0.1,'maxSetAside':0.3}}";

	private static EnvironmentDocument document() {
		return DocumentFormat.parse(GOOD.replace('\'', '"'));
	}

	/** Faults of a document and the field that each names. */
	public static class Format {

		@DataProvider
		public Object[][] faults() {
			return new Object[][] { { "'share'", "'shar'", "parties[0].shar" }, { "0.5", "1.5", "parties[0].share" },
					{ "0.5", "0", "parties[0].share" }, { "0.5", "'x'", "parties[0].share" },
					{ "'maxWaitingTasks':10", "'maxWaitingTasks':0", "parties[0].maxWaitingTasks" },
					{ "'urgency':0", "'urgency':-1", "classes[0].urgency" },
					{ "'queueBoundMillis':10", "'queueBoundMillis':0", "classes[0].queueBoundMillis" },
					{ "'floor':0", "'floor':2", "classes[0].floor" }, { "'name':'c'", "'name':''", "classes[0].name" },
					{ "'environment':'e'", "'environment':''", "environment" }, { "}}", "}", "line 1" },
					{ "0.3", "3", "limits.maxSetAside" }, { "'idempotent':true,", "", "classes[0]" } };
		}

		@Test(dataProvider = "faults")
		void faultNamesItsField(String good, String bad, String named) {
			String json = GOOD.replace(good, bad).replace('\'', '"');
			try {
				DocumentFormat.parse(json);
				Assert.fail("accepted: " + json);
			}
			catch (CodedException ex) {
				Assert.assertEquals(ex.code(), ResultCode.DOCUMENT_INVALID);
				Assert.assertTrue(ex.getMessage().contains(named), ex.getMessage());
			}
		}

		@Test
		void writtenDocumentReadsTheSame() {
			Assert.assertEquals(DocumentFormat.parse(DocumentFormat.write(document())), document());
		}

	}

	/** Operators who race, replays and retention. */
	public static class History {

		private final DocumentRecord publish = DocumentRecord.publish("p", "o", document());

		private static DocumentRecord promote(long version, long replaces) {
			return DocumentRecord.promote("e", "r" + version + replaces, "o", version, replaces);
		}

		@Test
		void secondOfTwoRacingPromotionsLosesAndIsTold() {
			DocumentHistory h = new DocumentHistory("e");
			h.apply(3, this.publish);
			h.apply(4, this.publish);
			Assert.assertEquals(h.apply(5, promote(4, 0)), ResultCode.COMPLETE);
			Assert.assertEquals(h.apply(6, promote(5, 0)), ResultCode.PROMOTION_LOST);
			Assert.assertEquals(h.version(), 4);
			Assert.assertEquals(h.find("r50").orElseThrow().outcome(), ResultCode.PROMOTION_LOST);
		}

		@DataProvider
		public Object[][] voidPromotions() {
			return new Object[][] { { 9, 4, ResultCode.VERSION_UNKNOWN }, { 4, 4, ResultCode.VERSION_NOT_NEWER },
					{ 5, 0, ResultCode.PROMOTION_LOST }, { 5, 4, ResultCode.COMPLETE } };
		}

		@Test(dataProvider = "voidPromotions")
		void promotionCountsOnlyInPlaceOfTheVersionInForce(long version, long replaces, ResultCode want) {
			DocumentHistory h = new DocumentHistory("e");
			h.apply(3, this.publish);
			h.apply(4, this.publish);
			h.apply(5, promote(4, 0));
			Assert.assertEquals(h.apply(6, promote(version, replaces)), want);
		}

		@Test
		void replayTakesNothingBack() {
			DocumentHistory h = new DocumentHistory("e");
			List<DocumentRecord> records = List.of(this.publish, promote(1, 0), this.publish, promote(3, 1));
			for (int turn = 0; turn < 2; turn++) {
				for (int i = 0; i < records.size(); i++) {
					h.apply(i, records.get(i));
				}
				Assert.assertEquals(h.version(), 3);
			}
			Assert.assertFalse(h.adopt(new DocumentVersion(1, 1, document())));
			Assert.assertEquals(h.version(), 3);
		}

		@Test
		void carriedVersionSurvivesRetention() {
			DocumentHistory old = new DocumentHistory("e");
			old.apply(3, this.publish);
			old.apply(4, promote(4, 0));
			DocumentHistory fresh = new DocumentHistory("e");
			fresh.apply(90, DocumentRecord.carry(old.inForce().orElseThrow()));
			Assert.assertEquals(fresh.inForce(), old.inForce());
			fresh.apply(91, this.publish);
			Assert.assertEquals(fresh.apply(92, promote(92, 4)), ResultCode.COMPLETE);
		}

	}

}
