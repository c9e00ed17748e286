/**
 * Documents as JSON. Serializing a long document is the most expensive step of applying a change, so it is done once:
 * the text made to measure a new document is kept until it is written, and the length for as long as the document
 * lives.
 */
import type { Document } from '../manifest/document.js';

/** A document as JSON. */
export type DocumentText = string;

const lengths = new WeakMap<Document, number>();
const pendingTexts = new WeakMap<Document, DocumentText>();
const sourceName = '"source":,';

/** The length of a document's text without its source, from the length of the whole text. */
const lengthWithoutSource = ({ source }: Document, textLength: number): number =>
  source ? textLength - JSON.stringify(source).length - sourceName.length : textLength;

/** Records the length of a document's whole text where it is already known. */
const setLength = (document: Document, textLength: number): void => {
  lengths.set(document, lengthWithoutSource(document, textLength));
};

/** The text of a document that is about to be written; a text kept by `measure` is released. */
const serialize = (document: Document): DocumentText => {
  const text = pendingTexts.get(document) ?? JSON.stringify(document);
  pendingTexts.delete(document);
  setLength(document, text.length);
  return text;
};

/** The length of a document's text without its source; the text is kept until it is written. */
const measure = (document: Document): number => {
  const known = lengths.get(document);
  if (known !== undefined) return known;
  const text = JSON.stringify(document);
  pendingTexts.set(document, text);
  setLength(document, text.length);
  return lengths.get(document)!;
};

/** Serializes documents and measures their length. */
export const DocumentText = { setLength, serialize, measure };
