// The seal over records at rest: AES-256-GCM under a key that the operators keep in a file of their own. A record
// that does not open under the key is no damage of the disk: the wrong key was given, and nothing is set aside.
import { createCipheriv, createDecipheriv, randomBytes } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { Failure } from '../common/failure.js';

/** Closes payloads under a key and opens them again. */
export type Seal = {
  readonly seal: (plain: Uint8Array) => Buffer;
  readonly open: (sealed: Uint8Array) => Buffer;
};

const algorithm = 'aes-256-gcm';
const marks = { iv: 12, tag: 16 } as const;

export const Seal = {
  /** The seal under the key of a key file. */
  async read(path: string): Promise<Seal> {
    const text = await readFile(path, 'utf8').catch((cause: unknown) => {
      throw Failure.of('startup', `cannot read the key file ${path}`, {}, cause);
    });
    if (!/^[0-9a-f]{64}\s*$/.test(text))
      throw Failure.of('startup', `the key file ${path} must hold 32 bytes in hexadecimal`);
    return Seal.of(Buffer.from(text.trim(), 'hex'));
  },
  /** The seal under a key of 32 bytes. */
  of: (key: Uint8Array): Seal => ({
    seal(plain) {
      const iv = randomBytes(marks.iv);
      const cipher = createCipheriv(algorithm, key, iv);
      const bytes = Buffer.concat([cipher.update(plain), cipher.final()]);
      return Buffer.concat([iv, cipher.getAuthTag(), bytes]);
    },
    open(sealed) {
      try {
        const decipher = createDecipheriv(algorithm, key, sealed.subarray(0, marks.iv));
        decipher.setAuthTag(sealed.subarray(marks.iv, marks.iv + marks.tag));
        return Buffer.concat([decipher.update(sealed.subarray(marks.iv + marks.tag)), decipher.final()]);
      } catch (cause) {
        throw Failure.of('store', 'the state does not open under the key file given', {}, cause);
      }
    },
  }),
};
