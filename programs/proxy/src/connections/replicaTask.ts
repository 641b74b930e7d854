import type { Address, Service, ServiceName, TaskId } from '@pewterlanding/model';

/** One attempt of an inspected request at one replica. */
export interface ReplicaTask {
  readonly id: TaskId;
  readonly service: ServiceName;
  readonly rule: Service;
  readonly address: Address;
  /** JSON text. */
  readonly input: string;
}
