import type { LeaderFinder, Member, ShardMap } from '@pewterlanding/consensus';
import type { SingletonRole } from '@pewterlanding/agent';
import type { Membership } from '@pewterlanding/membership';
import type { Clock, Counters, StartupTimeline, Transport } from '@pewterlanding/runtime';
import type { ConfigurationCommand } from '../configuration/configurationCommand.js';
import type { ConfigurationReturn } from '../configuration/configurationReturn.js';

/** What the operator interface of a controller machine is made of. */
export interface OperatorHttpOptions {
  readonly controller: {
    readonly finder: LeaderFinder;
    readonly table: ShardMap;
    readonly member: Member<ConfigurationCommand, ConfigurationReturn> | undefined;
    /** Who holds the dispatcher's role, as this machine knows it. */
    singletonRole(): SingletonRole | undefined;
  };
  readonly membership: Membership;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly timeline: StartupTimeline;
  /** Makes the ids of plans, unique over all controllers. */
  readonly nextPlan: () => string;
  /** How long an operator's request may take, in milliseconds; a confirmation waits for fronts whose freshness runs out. */
  readonly waitMs: number;
}
