// The judge of walls: did any cache lookup match the work of another tenant, or of another generation of the salts?
// It reads journals alone: those of callers say which tenant asked, those of engines whose work each lookup matched.
// An occasion is a lookup that would have matched another tenant's work if it were not for the salts.
import type { Caller } from '../caller.js';
import type { Checkers } from '../checkers.js';
import { Deployment } from '../deployments/deployment.js';

export type Tenants = { readonly verdict: Checkers.Verdict; readonly figures: Tenants.Figures };

export declare namespace Tenants {
  type Figures = {
    readonly lookups: number;
    readonly within: number;
    readonly across: number;
    readonly overGenerations: number;
    readonly keptApart: number;
    readonly generations: number;
  };
  type Change = {
    readonly event: string;
    readonly status?: number;
    readonly revision?: number;
    readonly generation?: number;
  };
  type Records = {
    readonly asked: readonly { readonly id: string; readonly kind: string }[];
    readonly ended: readonly Pick<Caller.Entry, 'id' | 'stamp'>[];
    readonly lookups: readonly Pick<Checkers.Run, 'caller' | 'instance' | 'of' | 'alike'>[];
    readonly tenants: Readonly<Record<string, string>>;
    readonly generations: readonly Change[];
  };
}

const mayBeTaken = ({ event, status = 0 }: Tenants.Change): boolean =>
  event === 'answer' && (status === 0 || status === 503);

/** The generation in force at a revision, where the operators' journal leaves no doubt. */
const generationAt = (changes: readonly Tenants.Change[]) => {
  const known = changes
    .filter(({ event, status, revision, generation }) => {
      const isTold = event === 'read' || (event === 'answer' && status === 200);
      return isTold && revision !== undefined && generation !== undefined;
    })
    .map(({ revision, generation }) => ({ revision: revision!, generation: generation! }))
    .sort((a, b) => a.revision - b.revision);
  const doubtful = changes.filter(mayBeTaken).map(({ generation = 0 }) => generation);
  return (revision: number): number | undefined => {
    const next = known.findIndex((one) => one.revision > revision);
    const last = known.at(next < 0 ? -1 : next - 1);
    if (next === 0 || !last) return undefined;
    const most = next < 0 ? Number.POSITIVE_INFINITY : known[next]!.generation;
    const isDoubtful = doubtful.some((one) => one > last.generation && one <= most);
    return last.revision === revision || !isDoubtful ? last.generation : undefined;
  };
};

export const Tenants = {
  of: ({ manifest, mix }: Deployment): Readonly<Record<string, string>> =>
    Object.fromEntries(
      mix.map(({ name, key }) => {
        const hash = Deployment.hash(key);
        const found = Object.entries(manifest.teams).find(([, team]) => team.keys.includes(hash));
        return [name, found?.[0] ?? 'nobody'];
      }),
    ),
  judge({ asked, ended, lookups, tenants, generations }: Tenants.Records): Tenants {
    const kinds = new Map(asked.map(({ id, kind }) => [id, kind]));
    const tenantOf = (id: string | undefined) => tenants[kinds.get(id ?? '') ?? ''];
    const at = generationAt(generations);
    const stamps = new Map(ended.map(({ id, stamp }) => [id, stamp]));
    const generationOf = (id: string | undefined) => {
      const revision = Number(stamps.get(id ?? '')?.split('.')[1]);
      return Number.isFinite(revision) ? at(revision) : undefined;
    };
    const across: string[] = [];
    const older: string[] = [];
    const met = new Set<number>();
    let within = 0;
    let keptApart = 0;
    for (const { caller, instance, of = [], alike = [] } of lookups) {
      const tenant = tenantOf(caller);
      const generation = generationOf(caller);
      if (generation !== undefined) met.add(generation);
      const others = alike.map(tenantOf).filter((one) => one !== undefined && one !== tenant);
      if (tenant !== undefined && others.length > 0) keptApart += 1;
      for (const owner of of) {
        const other = tenantOf(owner);
        const before = generationOf(owner);
        const what = `${caller} of ${tenant ?? 'nobody known'} matched work of ${owner} of ${other ?? 'nobody known'} at ${instance}`;
        if (tenant === undefined || other !== tenant) across.push(what);
        else if (generation !== undefined && before !== undefined && before !== generation)
          older.push(`${what}, generation ${before} by ${generation}`);
        else within += 1;
      }
    }
    return {
      verdict: { occasions: keptApart, breaches: [...across, ...older] },
      figures: {
        lookups: lookups.length,
        within,
        across: across.length,
        overGenerations: older.length,
        keptApart,
        generations: met.size,
      },
    };
  },
};
