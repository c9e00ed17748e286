/** Puts the documents of a scale run in force, as operators and the platform do, until they are taken. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Stamp } from '../../src/common/stamp.js';
import { Counts } from './counts.js';
import type { Stage } from './stage.js';
import type { World } from './world.js';

/** The documents of a run, by version. */
export type Documents = {
  /** Puts the next version; resolves with the stamp of the state that holds it, and when it was taken. */
  readonly put: (kind: Documents.Kind) => Promise<{ readonly stamp: Stamp; readonly at: number }>;
  /** The length of the newest version of each, in bytes of JSON. */
  readonly lengths: () => Readonly<Record<Documents.Kind, number>>;
};

/** The kinds of documents. */
export declare namespace Documents {
  type Kind = 'manifest' | 'servers';
}

const againAfter = 50;

const stampNow = async (stage: Stage): Promise<Stamp> => {
  for (;;) {
    const status = await stage.operate('GET', '/v1/status').catch(() => undefined);
    if (status?.status === 200) return status.body.stamp as Stamp;
    await pause(againAfter);
  }
};

/** Sends a document once; true once it was taken. One that is refused as invalid is a fault of the run. */
const send = async (stage: Stage, kind: Documents.Kind, body: unknown): Promise<boolean> => {
  const now = await stage.operate('GET', '/v1/manifest').catch(() => undefined);
  const headers = kind === 'manifest' ? { 'if-match': now?.etag ?? '"0"' } : undefined;
  const answer = await stage.operate('PUT', `/v1/${kind}`, body, headers).catch(() => undefined);
  if (answer?.status === 422) throw new Error(JSON.stringify(answer.body).slice(0, 2000));
  return answer?.status === 200;
};

/** Makes and puts documents of a given size. */
export const Documents = {
  of(stage: Stage, world: World): Documents {
    const lengths = { manifest: 0, servers: 0 };
    let version = 0;
    return {
      lengths: () => lengths,
      async put(kind) {
        version += 1;
        const body = kind === 'manifest' ? world.manifest(version) : world.servers(version);
        lengths[kind] = JSON.stringify(body).length;
        while (!(await send(stage, kind, body))) await pause(againAfter);
        const at = Counts.now();
        return { stamp: await stampNow(stage), at };
      },
    };
  },
};
