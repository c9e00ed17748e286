/**
 * Reads an OpenAI-style body: the model, and a key for the prompt prefix that a KV cache may hold. The prompt_cache_key of
 * the client takes precedence; without it, the leading messages are hashed, since similar requests share them.
 */
import { createHash } from 'node:crypto';

/** The parts of a request body that routing depends on. */
export type Prompt = {
  readonly model: string | undefined;
  /** Hash of the model and the shared prompt prefix. */
  readonly key: string | undefined;
  /** The parsed body; undefined if it was not parsed. */
  readonly json: Readonly<Record<string, unknown>> | undefined;
};

/** Characters of a single message or plain prompt that are hashed. */
const maxPrefixChars = 2048;

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const prefixOf = (json: Record<string, unknown>): string | undefined => {
  const { messages, prompt } = json;
  if (Array.isArray(messages)) {
    const end = messages.findIndex(
      (one) => !isRecord(one) || (one.role !== 'system' && one.role !== 'developer'),
    );
    const lead = end === 0 ? messages.slice(0, 1) : messages.slice(0, end < 0 ? undefined : end);
    return JSON.stringify(lead).slice(0, end === 0 ? maxPrefixChars : undefined);
  }
  return typeof prompt === 'string' ? prompt.slice(0, maxPrefixChars) : undefined;
};

/** Parses request bodies. */
export const Prompt = {
  /** A body that is not parsed. */
  none: { model: undefined, key: undefined, json: undefined } as Prompt,
  /** Returns undefined if the body is not a JSON object. */
  read(body: Buffer): Prompt | undefined {
    let json: unknown;
    try {
      json = JSON.parse(body.toString('utf8'));
    } catch {
      return undefined;
    }
    if (!isRecord(json)) return undefined;
    const model = typeof json.model === 'string' ? json.model : undefined;
    const clientKey = typeof json.prompt_cache_key === 'string' ? json.prompt_cache_key : undefined;
    const prefix = clientKey ?? prefixOf(json);
    const key =
      prefix === undefined
        ? undefined
        : createHash('sha1')
            .update(`${model ?? ''}\0${prefix}`)
            .digest('base64');
    return { model, key, json };
  },
};
