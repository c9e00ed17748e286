// What is bundled and run in each simulated process: the control program itself, with paths for numbered orders beside
// its own interface, and a look at what a data folder would remember if it were opened now.
import { Hono } from 'hono';
import { Ticker } from '../../src/common/ticker.js';
import { PutNumbered } from '../../src/control/commands/put-numbered.js';
import { DataFolder } from '../../src/control/data-folder.js';
import { Control } from '../../src/control/program.js';
import { ReadSource } from '../../src/control/queries/read-source.js';
import { Responses } from '../../src/control/responses.js';
import { Register } from '../../src/epoch/register.js';
import type { LogBuffer } from '../../src/log/log-buffer.js';
import type { Document } from '../../src/manifest/document.js';
import type { Program as Running } from '../../src/startup/program.js';
import type { Startup } from '../../src/startup/startup.js';
import { File } from '../../src/store/file.js';
import { Orders } from '../../src/store/orders.js';

export type Program = typeof Program;

export declare namespace Program {
  /** What a disk holds: its name and the newest change. */
  type Memory = {
    readonly disk: string;
    readonly epoch: number;
    readonly revision: number;
    /** Whether it knows an order as taken, by its name and its number. */
    readonly knows: (id: string, number: number) => boolean;
  };
}

export const Program = {
  start(startup: Startup['control'], ring: LogBuffer): Promise<Running> {
    Ticker.clear();
    return Control.start(startup, ring, {
      operators({ gateway, onPrimary: order }) {
        const app = new Hono();
        app.put(
          '/numbered',
          order(async (context) => {
            const { base, document } = (await context.req.json()) as {
              base: number;
              document: Document & { source: Document.Source };
            };
            return PutNumbered.run(gateway, { base, document });
          }),
        );
        app.get(
          '/numbered',
          order(async () => {
            const read = await ReadSource.run(gateway);
            return read
              ? { status: 200, body: read.source }
              : Responses.unconfirmed('none', 'nothing is in place', 'no');
          }),
        );
        return app;
      },
    });
  },
  /** The name of the disk, which its register keeps. */
  async diskName(folder: string): Promise<string> {
    return (await Register.open(await File.open(folder, 'register.log'))).disk;
  },
  async remembers(folder: string): Promise<Program.Memory> {
    const { register, store } = await DataFolder.open(folder, () => {});
    const state = store.state();
    const notes = new Set(state.manifests.map(({ document }) => document.note ?? ''));
    return {
      disk: register.disk,
      epoch: state.stamp.epoch,
      revision: state.stamp.revision,
      knows: (id, number) =>
        notes.has(id) ||
        Orders.numberStatus(state, number, id) === 'taken' ||
        Orders.findAnswer(state, id, '') !== undefined,
    };
  },
};
