import type { NodeName } from '@pewterlanding/model';
import type { NodeRecord, Update, Version } from '../state-table/index.js';
import { nodeKeyPrefix } from './nodeKeyPrefix.js';

/** This node's own record and the version it is published under. Refutation follows SWIM's incarnation numbers. */
export class SelfRecord {
  readonly #record: Omit<NodeRecord, 'state'>;
  #version: Version;
  #state: NodeRecord['state'] = 'here';

  /** `incarnation` has to grow over restarts of the process. */
  constructor(record: Omit<NodeRecord, 'state'>, incarnation: number) {
    this.#record = record;
    this.#version = [incarnation, 0];
  }

  /** This node's name. */
  get name(): NodeName {
    return this.#record.name;
  }

  /** The update that publishes the record. */
  update(): Update {
    return { key: nodeKeyPrefix + this.name, version: this.#version, volatile: false, value: { ...this.#record, state: this.#state } };
  }

  /** Whether a record that others hold of this node says that it is away or at another address while it runs. */
  isContradictedBy(nodeRecord: NodeRecord): boolean {
    if (nodeRecord.name !== this.name || this.#state !== 'here') return false;
    return nodeRecord.state !== 'here' || nodeRecord.address !== this.#record.address;
  }

  /** Moves to a version above the contradicting one. */
  refute(version: Version): void {
    this.#version = [Math.max(version[0], this.#version[0]), version[1] + 1];
  }

  /** Takes over the version under which the table holds this node's record now. */
  adopt(version: Version): void {
    this.#version = version;
  }

  /** Marks the node as having left, under the next version. */
  markLeft(): void {
    this.#state = 'left';
    this.#version = [this.#version[0], this.#version[1] + 1];
  }
}
