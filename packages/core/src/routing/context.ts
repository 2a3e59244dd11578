/** What the runs of routed requests share. */
import type { DataCentre } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import type { EndpointBook } from "./endpoint_book.ts";
import type { RoutedEndpointPort } from "./port.ts";
import type { ServiceBudget } from "./service_budget.ts";

/** Shared by all runs of one VM. */
export interface RoutingContext {
  readonly dataCentre: DataCentre;
  readonly endpoints: EndpointBook;
  readonly budget: ServiceBudget;
  readonly port: RoutedEndpointPort;
  readonly observer: Observer;
  /** A number from 0 up to 1; seeded in tests. */
  readonly random: () => number;
}
