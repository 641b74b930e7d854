import { allowsReplica, updateKeys } from '@pewterlanding/agent';
import type { LearnedServiceStatistics, Replica } from '@pewterlanding/agent';
import type { StateTable, Update, UpdateReader } from '@pewterlanding/membership';
import type { Configuration } from '@pewterlanding/model';
import { replicaKey } from '../routing/replicaKey.js';

interface AnnouncementRulesOptions {
  readonly stateTable: StateTable;
  readonly replicaReader: UpdateReader<Replica>;
  readonly statisticsReader: UpdateReader<LearnedServiceStatistics>;
}

/** Decides whether a replica's announcement is applied. */
export class AnnouncementRules {
  readonly #options: AnnouncementRulesOptions;

  constructor(options: AnnouncementRulesOptions) {
    this.#options = options;
  }

  /** Why an announcement is rejected; undefined when it is not. */
  objection(
    replica: Replica,
    configuration: Configuration | undefined,
  ): 'unknown service' | 'not allowed' | 'stale incarnation' | undefined {
    const rule = configuration?.services[replica.service];
    if (rule === undefined) return 'unknown service';
    if (!allowsReplica(rule, replica)) return 'not allowed';
    if (this.#hasLeft(replica)) return 'stale incarnation';
    const known = this.#options.stateTable.get(updateKeys.replica(replica.service, replicaKey(replica)));
    if (known === undefined) return undefined;
    return this.#isStale(replica, known) ? 'stale incarnation' : undefined;
  }

  /** Whether the controllers know that this incarnation has left. */
  #hasLeft(replica: Replica): boolean {
    const { stateTable, statisticsReader } = this.#options;
    const statistics = statisticsReader.read(stateTable.get(updateKeys.service(replica.service)));
    if (statistics === undefined || replica.state !== 'serving') return false;
    return replica.incarnation <= (statistics.left[replica.address] ?? -1);
  }

  /** Whether a later incarnation is known, or this one has announced its end. */
  #isStale(replica: Replica, known: Update): boolean {
    const [knownIncarnation] = known.version;
    const hasEnded = this.#options.replicaReader.read(known)?.state === 'leaving' && replica.state === 'serving';
    if (hasEnded && replica.incarnation <= knownIncarnation) return true;
    return replica.incarnation < knownIncarnation;
  }
}
