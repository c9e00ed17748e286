/**
 * Which changes of the manifest an operator may make. An operator may be restricted to teams; it may then change only the
 * entries of these teams and rules that name no other team.
 */

import { isDeepStrictEqual } from 'node:util';
import type { Document } from '../manifest/document.js';

/** What a change touches: teams, and other parts of the manifest by name. */
export type Rights = { readonly teams: readonly string[]; readonly others: readonly string[] };

export declare namespace Rights {
  /** An operator or platform client, as its token identifies it. */
  type Person = {
    readonly name: string;
    /** The teams that the operator is restricted to, or undefined if it is unrestricted. */
    readonly teams: readonly string[] | undefined;
    readonly maySeeSecrets?: boolean;
  };
}

const changedKeys = (before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>) =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])].filter(
    (key) => !isDeepStrictEqual(before[key], after[key]),
  );

const appliesToAllTeams = (rule: Document.Rule): boolean => rule.teams === undefined;

/**
 * Rules added, removed or changed. They are matched by name through a map: comparing each rule with every other blocked the
 * primary for longer than its peers wait.
 */
const changedRules = (before: readonly Document.Rule[], after: readonly Document.Rule[]) => {
  const differsFrom = (rules: readonly Document.Rule[]) => {
    const byName = new Map(rules.map((rule) => [rule.name, rule]));
    return (one: Document.Rule) => !isDeepStrictEqual(one, byName.get(one.name));
  };
  return [...before.filter(differsFrom(after)), ...after.filter(differsFrom(before))];
};

/** Checks changes of the manifest against an operator's teams. */
export const Rights = {
  /** The teams and other parts of the manifest that a change affects. */
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
    const commonRuleNames = (rules: readonly Document.Rule[]) =>
      rules.filter(appliesToAllTeams).map((rule) => rule.name);
    const isCommonOrderChanged = !isDeepStrictEqual(
      commonRuleNames(before?.rules ?? []),
      commonRuleNames(after.rules),
    );
    return {
      teams: [...teams],
      others: [
        ...others,
        ...(isQuotaChanged ? ['quotas'] : []),
        ...(rules.some(appliesToAllTeams) || isCommonOrderChanged ? ['rules of all teams'] : []),
      ],
    };
  },
  /** Why the operator may not make the change, or undefined if it may. */
  denied(by: Rights.Person, affected: Rights): string | undefined {
    if (!by.teams) return undefined;
    const foreign = affected.teams.filter((team) => !by.teams?.includes(team));
    if (foreign.length > 0) return `${by.name} may not change the teams ${foreign.join(', ')}`;
    if (affected.others.length > 0) return `${by.name} may not change ${affected.others.join(', ')}`;
    return undefined;
  },
};
