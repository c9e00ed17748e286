// What we read of an OpenAI-style body: the model, and the key of the prefix that a KV cache may hold.
// The caller's prompt_cache_key goes first; without it the leading messages are hashed, for they are
// what requests of one kind share.
import { createHash } from 'node:crypto';

export type Prompt = {
  readonly model: string | undefined;
  readonly key: string | undefined;
  readonly json: Readonly<Record<string, unknown>> | undefined;
};

const leading = 2048;

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const prefixOf = (json: Record<string, unknown>): string | undefined => {
  const { messages, prompt } = json;
  if (Array.isArray(messages)) {
    const end = messages.findIndex(
      (one) => !isRecord(one) || (one.role !== 'system' && one.role !== 'developer'),
    );
    const lead = end === 0 ? messages.slice(0, 1) : messages.slice(0, end < 0 ? undefined : end);
    return JSON.stringify(lead).slice(0, end === 0 ? leading : undefined);
  }
  return typeof prompt === 'string' ? prompt.slice(0, leading) : undefined;
};

export const Prompt = {
  none: { model: undefined, key: undefined, json: undefined } as Prompt,
  read(body: Buffer): Prompt | undefined {
    let json: unknown;
    try {
      json = JSON.parse(body.toString('utf8'));
    } catch {
      return undefined;
    }
    if (!isRecord(json)) return undefined;
    const model = typeof json.model === 'string' ? json.model : undefined;
    const named = typeof json.prompt_cache_key === 'string' ? json.prompt_cache_key : undefined;
    const prefix = named ?? prefixOf(json);
    const key =
      prefix === undefined
        ? undefined
        : createHash('sha1')
            .update(`${model ?? ''}\0${prefix}`)
            .digest('base64');
    return { model, key, json };
  },
};
