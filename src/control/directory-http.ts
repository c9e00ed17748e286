// The directory at an address of its own, in the words of the installation that asks for it.
import type { Server } from 'node:http';
import { createAdaptorServer } from '@hono/node-server';
import type { Adapter } from './adapter.js';
import { ReadDirectory } from './queries/read-directory.js';

export type DirectoryHttp = Server;

export const DirectoryHttp = {
  of(terms: NonNullable<Adapter['directory']>, needs: ReadDirectory.Dependencies): DirectoryHttp {
    const app = terms.app((zone) => ReadDirectory.find(needs, zone));
    return createAdaptorServer({ fetch: app.fetch, overrideGlobalObjects: false }) as Server;
  },
};
