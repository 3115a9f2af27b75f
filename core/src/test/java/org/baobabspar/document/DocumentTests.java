package org.baobabspar.document;

import java.util.List;

import org.baobabspar.model.CodedException;
import org.baobabspar.model.ResultCode;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests validation of environment documents and the history of their records.
 */
public class DocumentTests {

	private static final String VALID_DOCUMENT = "{'environment':'e','parties':[{'name':'p','share':0.5,'maxWaitingTasks':10}],"
			+ "'classes':[{'name':'c','urgency':0,'queueBoundMillis':10,'idempotent':true,'floor':0}],"
			+ "'limits':{'headroom':0.1,'maxSetAside':0.3}}";

	private static EnvironmentDocument document() {
		return DocumentFormat.parse(VALID_DOCUMENT.replace('\'', '"'));
	}

	/** Error messages name the invalid field. */
	public static class Format {

		@DataProvider
		public Object[][] invalidDocuments() {
			return new Object[][] { { "'share'", "'shar'", "parties[0].shar" }, { "0.5", "1.5", "parties[0].share" },
					{ "0.5", "0", "parties[0].share" }, { "0.5", "'x'", "parties[0].share" },
					{ "'maxWaitingTasks':10", "'maxWaitingTasks':0", "parties[0].maxWaitingTasks" },
					{ "'urgency':0", "'urgency':-1", "classes[0].urgency" },
					{ "'queueBoundMillis':10", "'queueBoundMillis':0", "classes[0].queueBoundMillis" },
					{ "'floor':0", "'floor':2", "classes[0].floor" }, { "'name':'c'", "'name':''", "classes[0].name" },
					{ "'environment':'e'", "'environment':''", "environment" }, { "}}", "}", "line 1" },
					{ "0.3", "3", "limits.maxSetAside" }, { "'idempotent':true,", "", "classes[0]" } };
		}

		@Test(dataProvider = "invalidDocuments")
		void errorMessageNamesTheInvalidField(String valid, String invalid, String field) {
			String json = VALID_DOCUMENT.replace(valid, invalid).replace('\'', '"');
			try {
				DocumentFormat.parse(json);
				Assert.fail("accepted: " + json);
			}
			catch (CodedException ex) {
				Assert.assertEquals(ex.code(), ResultCode.DOCUMENT_INVALID);
				Assert.assertTrue(ex.getMessage().contains(field), ex.getMessage());
			}
		}

		@Test
		void writtenDocumentReadsTheSame() {
			Assert.assertEquals(DocumentFormat.parse(DocumentFormat.write(document())), document());
		}

	}

	/** Concurrent promotions, replays and retention. */
	public static class History {

		private final DocumentRecord publish = DocumentRecord.publish("p", "o", document());

		private static DocumentRecord promote(long version, long replaces) {
			return DocumentRecord.promote("e", "r" + version + replaces, "o", version, replaces);
		}

		@Test
		void secondOfTwoConcurrentPromotionsIsRejected() {
			DocumentHistory history = new DocumentHistory("e");
			history.apply(3, this.publish);
			history.apply(4, this.publish);
			Assert.assertEquals(history.apply(5, promote(4, 0)), ResultCode.COMPLETE);
			Assert.assertEquals(history.apply(6, promote(5, 0)), ResultCode.PROMOTION_LOST);
			Assert.assertEquals(history.version(), 4);
			Assert.assertEquals(history.find("r50").orElseThrow().outcome(), ResultCode.PROMOTION_LOST);
		}

		@DataProvider
		public Object[][] promotionsAfterVersion4() {
			return new Object[][] { { 9, 4, ResultCode.VERSION_UNKNOWN }, { 4, 4, ResultCode.VERSION_NOT_NEWER },
					{ 5, 0, ResultCode.PROMOTION_LOST }, { 5, 4, ResultCode.COMPLETE } };
		}

		@Test(dataProvider = "promotionsAfterVersion4")
		void promotionMustReplaceTheVersionInForce(long version, long replaces, ResultCode expected) {
			DocumentHistory history = new DocumentHistory("e");
			history.apply(3, this.publish);
			history.apply(4, this.publish);
			history.apply(5, promote(4, 0));
			Assert.assertEquals(history.apply(6, promote(version, replaces)), expected);
		}

		@Test
		void replayNeverRevertsTheVersionInForce() {
			DocumentHistory history = new DocumentHistory("e");
			List<DocumentRecord> records = List.of(this.publish, promote(1, 0), this.publish, promote(3, 1));
			for (int pass = 0; pass < 2; pass++) {
				for (int i = 0; i < records.size(); i++) {
					history.apply(i, records.get(i));
				}
				Assert.assertEquals(history.version(), 3);
			}
			Assert.assertFalse(history.adopt(new DocumentVersion(1, 1, document())));
			Assert.assertEquals(history.version(), 3);
		}

		@Test
		void carriedVersionSurvivesRetention() {
			DocumentHistory original = new DocumentHistory("e");
			original.apply(3, this.publish);
			original.apply(4, promote(4, 0));
			DocumentHistory reread = new DocumentHistory("e");
			reread.apply(90, DocumentRecord.carry(original.inForce().orElseThrow()));
			Assert.assertEquals(reread.inForce(), original.inForce());
			reread.apply(91, this.publish);
			Assert.assertEquals(reread.apply(92, promote(92, 4)), ResultCode.COMPLETE);
		}

	}

}
