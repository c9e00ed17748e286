/**
 * Encryption of records at rest: AES-256-GCM under a key that the operators keep in a file of their own. A record that
 * does not open is taken for a wrong key and not for a damaged disk, so the data folder is not set aside.
 */
import { createCipheriv, createDecipheriv, randomBytes } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { Failure } from '../common/failure.js';

/** Encrypts (seals) and decrypts (opens) payloads under one key. */
export type Seal = {
  readonly seal: (plain: Uint8Array) => Buffer;
  readonly open: (sealed: Uint8Array) => Buffer;
};

const algorithm = 'aes-256-gcm';
/** Lengths in bytes; a sealed payload is the IV, the tag and the ciphertext. */
const lengths = { iv: 12, tag: 16 } as const;

/** Creates seals. */
export const Seal = {
  /** The seal with the key from a key file. */
  async read(path: string): Promise<Seal> {
    const text = await readFile(path, 'utf8').catch((cause: unknown) => {
      throw Failure.of('startup', `cannot read the key file ${path}`, {}, cause);
    });
    if (!/^[0-9a-f]{64}\s*$/.test(text))
      throw Failure.of('startup', `the key file ${path} must hold 32 bytes in hexadecimal`);
    return Seal.of(Buffer.from(text.trim(), 'hex'));
  },
  /** The seal with a key of 32 bytes. */
  of: (key: Uint8Array): Seal => ({
    seal(plain) {
      const iv = randomBytes(lengths.iv);
      const cipher = createCipheriv(algorithm, key, iv);
      const bytes = Buffer.concat([cipher.update(plain), cipher.final()]);
      return Buffer.concat([iv, cipher.getAuthTag(), bytes]);
    },
    open(sealed) {
      try {
        const decipher = createDecipheriv(algorithm, key, sealed.subarray(0, lengths.iv));
        decipher.setAuthTag(sealed.subarray(lengths.iv, lengths.iv + lengths.tag));
        return Buffer.concat([decipher.update(sealed.subarray(lengths.iv + lengths.tag)), decipher.final()]);
      } catch (cause) {
        throw Failure.of('store', 'the state does not open under the key file given', {}, cause);
      }
    },
  }),
};
