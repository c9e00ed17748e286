/**
 * The parts of a core that grant from quotas: the duty that one core at a time holds, the allowance of each core, and the copy of
 * the usage horizon at each core.
 */
import { Failure } from '../common/failure.js';
import { CoreAllowance } from '../duty/core-allowance.js';
import { HorizonReplica } from '../duty/horizon-replica.js';
import { QuotaDuty } from '../duty/quota-duty.js';
import type { Register } from '../epoch/register.js';
import type { Feed } from '../news/feed.js';
import type { Store } from '../store/store.js';
import type { Frame } from '../wire/frame.js';
import type { Core } from './core.js';
import { FirstUse } from './first-use.js';
import type { HorizonFile } from './horizon-file.js';

/** What a core grants from quotas with. */
export type QuotaDuties = {
  readonly quotas: QuotaDuty;
  readonly allowance: CoreAllowance;
  /** Handles a message of another core about the horizon. */
  readonly receiveHorizon: (message: Frame.Horizon) => void;
  /** Observes the term and repeats what was not answered; called several times a second. */
  readonly maintain: (isHolder: boolean) => void;
};

/** What they need from the core. */
export declare namespace QuotaDuties {
  type Dependencies = {
    readonly own: string;
    readonly disk: string;
    readonly register: Register;
    readonly store: Store;
    readonly feed: Feed;
    readonly core: () => Core | undefined;
    readonly isInTouch: () => boolean;
    readonly roster: () => readonly string[];
    readonly horizon: HorizonFile;
    readonly note: (text: string, facts?: Record<string, unknown>) => void;
    readonly sendUp: (node: string, message: Frame.Horizon) => void;
    readonly sendDown: (frame: QuotaDuty.Tokens) => void;
  };
}

const observeFirstUse = (needs: QuotaDuties.Dependencies): FirstUse => {
  const { disk, register, store, feed, core, isInTouch } = needs;
  return FirstUse.of({
    hasManifest: () => Boolean(feed.view().manifest) || store.state().manifests.length > 0,
    isMemberInTouch: () => isInTouch() && (core()?.term()?.cores ?? []).some((one) => one.disk === disk),
    disk,
    isBlank: register.isBlank(),
    watchTerms: register.watch,
  });
};

/** Creates them. */
export const QuotaDuties = {
  of(needs: QuotaDuties.Dependencies): QuotaDuties {
    const { own, disk, feed, core, roster, sendUp, sendDown } = needs;
    const firstUse = observeFirstUse(needs);
    const cores = () => core()?.term()?.cores ?? [];
    const quotaOf = (team: string) => feed.view().manifest?.document.teams[team]?.quota;
    const replica = HorizonReplica.of({
      own,
      epoch: () => core()?.term()?.epoch ?? 0,
      hasTakenPartAlways: firstUse.hasTakenPartAlways,
      ...needs.horizon,
    });
    const receiveHorizon = (message: Frame.Horizon): void => {
      if (HorizonReplica.isReply(message)) quotas.handleHorizonReply(message);
      else
        replica.handle(message).then(
          (reply) => sendHorizon(message.node, reply),
          (error) => needs.note('the usage horizon was not saved', { why: Failure.text(error) }),
        );
    };
    const sendHorizon = (node: string, message: Frame.Horizon): void => {
      if (node === own) setImmediate(() => receiveHorizon(message));
      else sendUp(node, message);
    };
    const quotas = QuotaDuty.of({
      quotaOf,
      roster,
      requestReport: (node) => sendDown({ ...QuotaDuty.reportRequest, node }),
      unusedUntil: firstUse.unusedUntil,
      isFirstHolder: firstUse.hasAlwaysLed,
      isPrimary: () => core()?.leading() !== undefined,
      horizon: { own, cores: () => cores().map(({ node }) => node), send: sendHorizon },
      respond: sendDown,
    });
    const allowance = CoreAllowance.of({
      quotaOf,
      coreCount: () => (cores().some((one) => one.disk === disk) ? cores().length : undefined),
    });
    return {
      quotas,
      allowance,
      receiveHorizon,
      maintain(isHolder) {
        firstUse.observe();
        quotas.observeTerm(isHolder ? core()?.term()?.epoch : undefined);
        quotas.maintain();
        allowance.observeMembership();
      },
    };
  },
};
