// Whose change is it? An operator may be bound to teams: then a change may touch only those teams'
// entries and the rules that name no other team.
import { isDeepStrictEqual } from 'node:util';
import type { Document } from '../manifest/document.js';

export type Rights = { readonly teams: readonly string[]; readonly others: readonly string[] };

export declare namespace Rights {
  type Person = {
    readonly name: string;
    readonly teams: readonly string[] | undefined;
    readonly maySeeSecrets?: boolean;
  };
}

const changedKeys = (before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>) =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])].filter(
    (key) => !isDeepStrictEqual(before[key], after[key]),
  );

const common = (rule: Document.Rule): boolean => rule.teams === undefined;

const changedRules = (before: readonly Document.Rule[], after: readonly Document.Rule[]) => {
  const missingFrom = (rules: readonly Document.Rule[]) => {
    const named = new Map(rules.map((rule) => [rule.name, rule]));
    return (one: Document.Rule) => !isDeepStrictEqual(one, named.get(one.name));
  };
  return [...before.filter(missingFrom(after)), ...after.filter(missingFrom(before))];
};

export const Rights = {
  affected(before: Document | undefined, after: Document): Rights {
    const rules = changedRules(before?.rules ?? [], after.rules);
    const teams = new Set([
      ...changedKeys(before?.teams ?? {}, after.teams),
      ...rules.flatMap((rule) => rule.teams ?? []),
    ]);
    const others = (['zones', 'groups', 'homes', 'evacuations', 'walls'] as const).filter((part) => {
      const empty = part === 'evacuations' ? [] : {};
      return !isDeepStrictEqual(before?.[part] ?? empty, after[part] ?? empty);
    });
    const quotas = (document: Document | undefined) =>
      Object.entries(document?.teams ?? {}).map(([name, team]) => [name, team.quota]);
    const isQuotaChanged = !isDeepStrictEqual(
      quotas(before).filter(([, one]) => one),
      quotas(after).filter(([, one]) => one),
    );
    const commonOrder = (rules: readonly Document.Rule[]) => rules.filter(common).map((rule) => rule.name);
    const isCommonMoved = !isDeepStrictEqual(commonOrder(before?.rules ?? []), commonOrder(after.rules));
    return {
      teams: [...teams],
      others: [
        ...others,
        ...(isQuotaChanged ? ['quotas'] : []),
        ...(rules.some(common) || isCommonMoved ? ['rules of all teams'] : []),
      ],
    };
  },
  denied(by: Rights.Person, touched: Rights): string | undefined {
    if (!by.teams) return undefined;
    const foreign = touched.teams.filter((team) => !by.teams?.includes(team));
    if (foreign.length > 0) return `${by.name} may not change the teams ${foreign.join(', ')}`;
    if (touched.others.length > 0) return `${by.name} may not change ${touched.others.join(', ')}`;
    return undefined;
  },
};
