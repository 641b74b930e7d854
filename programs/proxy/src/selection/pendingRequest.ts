import type { ServiceName } from '@pewterlanding/model';

/** One entry of a `PendingQueue`. */
export interface PendingRequest<Request, Result> {
  readonly service: ServiceName;
  readonly request: Request;
  /** For the queue alone: use `PendingQueue.settle`. */
  readonly resolve: (result: Result) => void;
}
