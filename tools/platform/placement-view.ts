// What one proxy of the load experiment knows and how it chooses: what it has in flight itself, what it believes
// that each server keeps (from its own requests alone), and for one way the servers' reports.
import type { Random } from '../random.js';
import { EngineModel } from './engine-model.js';

export type PlacementView = {
  readonly choose: (work: EngineModel.Work) => number;
  readonly begun: (server: number, work: EngineModel.Work) => void;
  readonly done: (server: number, work: EngineModel.Work) => void;
};

export declare namespace PlacementView {
  type Way = 'random' | 'least' | 'rendezvous' | 'rendezvous-near' | 'cost' | 'cost-report' | 'cost-agreed';
  type Terms = {
    readonly way: Way;
    readonly region: number;
    readonly regionOf: readonly number[];
    readonly figures: EngineModel.Figures;
    readonly oneWay: number;
    readonly random: Random;
    readonly reportOf: (server: number) => EngineModel.Report;
    readonly hash: (text: string) => number;
  };
}

type Known = { readonly kept: Map<string, number>; keptTokens: number; count: number; unread: number };

const mostOver = 1.25;
/** Of the memory of a server, what one proxy takes its own requests to fill. */
const believed = 0.5;
/** By agreement of all proxies, so many servers hold a chain of shared parts. */
const holders = 2;

export const PlacementView = {
  of(terms: PlacementView.Terms): PlacementView {
    const { way, regionOf, figures } = terms;
    const servers = regionOf.map((): Known => ({ kept: new Map(), keptTokens: 0, count: 0, unread: 0 }));
    const flying = new Map<string, number>();
    const pathsOf = (work: EngineModel.Work): { path: string; tokens: number }[] => {
      let path = '';
      return work.parts.map((part) => {
        path = `${path}/${part.id}`;
        return { path, tokens: part.tokens };
      });
    };
    const uncached = (known: Known, work: EngineModel.Work): number => {
      let hit = 0;
      for (const { path, tokens } of pathsOf(work)) {
        if (!known.kept.has(path)) break;
        hit += tokens;
      }
      return EngineModel.promptOf(work) - hit;
    };
    const keep = (known: Known, work: EngineModel.Work) => {
      for (const { path, tokens } of pathsOf(work).reverse()) {
        if (known.kept.delete(path)) known.keptTokens -= tokens;
        known.kept.set(path, tokens);
        known.keptTokens += tokens;
      }
      for (const [path, tokens] of known.kept) {
        if (known.keptTokens <= figures.memory * believed) break;
        known.kept.delete(path);
        known.keptTokens -= tokens;
      }
    };
    const all = servers.map((_known, server) => server);
    const near = all.filter((server) => regionOf[server] === terms.region);
    const distance = (server: number) => (regionOf[server] === terms.region ? 0 : 2 * terms.oneWay);
    const least = (cost: (server: number) => number): number =>
      all.reduce((best, server) => (cost(server) < cost(best) ? server : best), all[0]!);
    const ranked = (among: readonly number[], key: string): number[] =>
      [...among].sort((a, b) => terms.hash(`${key} ${b}`) - terms.hash(`${key} ${a}`));
    const rendezvous = (among: readonly number[], work: EngineModel.Work): number | undefined => {
      const key = work.parts
        .slice(0, -1)
        .map((part) => part.id)
        .join('/');
      const total = servers.reduce((sum, known) => sum + known.count, 0);
      const most = Math.max(2, Math.ceil(((total + 1) / servers.length) * mostOver));
      return ranked(among, key).find((server) => servers[server]!.count < most);
    };
    const agreed = (server: number, work: EngineModel.Work): number => {
      const paths = pathsOf(work).slice(0, -1);
      const isHolder = ranked(all, paths.at(-1)?.path ?? '')
        .slice(0, holders)
        .includes(server);
      const shared = paths.reduce((sum, { tokens }) => sum + tokens, 0);
      return isHolder ? EngineModel.promptOf(work) - shared : uncached(servers[server]!, work);
    };
    const costOf = (server: number, work: EngineModel.Work): number => {
      const known = servers[server]!;
      const report = way === 'cost-report' ? terms.reportOf(server) : undefined;
      const others = report ? Math.max(0, report.active + report.queued - known.count) : 0;
      const waiting = known.unread / figures.readPerMs + (report?.queued ?? 0) * 15;
      const reading =
        (way === 'cost-agreed' ? agreed(server, work) : uncached(known, work)) / figures.readPerMs;
      const growth = figures.stepPerRequest * (known.count + others) * Math.min(work.out, 200);
      return distance(server) + waiting + reading + growth;
    };
    const pick = (work: EngineModel.Work): number => {
      if (way === 'random') return terms.random.pick(all);
      if (way === 'least') return least((server) => servers[server]!.count * 1000 + distance(server));
      if (way === 'rendezvous') return rendezvous(all, work) ?? terms.random.pick(all);
      if (way === 'rendezvous-near')
        return rendezvous(near, work) ?? rendezvous(all, work) ?? terms.random.pick(near);
      const costs = all.map((server) => costOf(server, work));
      return least((server) => costs[server]!);
    };
    return {
      choose(work) {
        const server = pick(work);
        const known = servers[server]!;
        const toRead = uncached(known, work);
        flying.set(work.id, toRead);
        known.count += 1;
        known.unread += toRead;
        keep(known, work);
        return server;
      },
      begun(server, work) {
        servers[server]!.unread -= flying.get(work.id) ?? 0;
        flying.set(work.id, 0);
      },
      done(server, work) {
        const known = servers[server]!;
        known.count -= 1;
        known.unread -= flying.get(work.id) ?? 0;
        flying.delete(work.id);
      },
    };
  },
};
