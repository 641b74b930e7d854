import type { NodeRecord } from '@pewterlanding/membership';
import type { Address, NodeName, ZoneName } from '@pewterlanding/model';

/** Where one node of a hollow fleet stands, and which process plays it. */
export interface HollowPlace {
  readonly name: NodeName;
  readonly role: NodeRecord['role'];
  readonly zone: ZoneName;
  readonly region: number;
  readonly rack: string;
  readonly address: Address;
  /** The proxy beside a agent. */
  readonly proxy: Address;
  readonly worker: number;
}
