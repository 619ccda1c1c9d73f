package org.jujuberouter.settings;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;

/**
 * The object that a setting applies to, which is a node of the settings tree.
 *
 * <p>A value that is not set for a target is inherited from its parent: a customer of a service inherits from the
 * service, services and customers inherit from the global target. Models, failure domains and endpoints have no parent;
 * for them the schema's default applies.
 */
public sealed interface SettingTarget {
    /** Pattern of a name in a path. */
    Pattern NAME = Pattern.compile("[A-Za-z0-9._:@-]{1,100}");

    /** Returns the path pattern of this kind of target, such as {@code service/{service}}. */
    String pattern();

    /** Returns the path of the target, which is the prefix of the paths of its settings. */
    String prefix();

    /** Returns the target from which unset values are inherited; empty if there is none. */
    default Optional<SettingTarget> parent() {
        return Optional.empty();
    }

    /** Returns the path of a setting of this target. */
    default String path(String settingName) {
        return prefix() + "/" + settingName;
    }

    /** The global target, the root of inheritance. */
    record Global() implements SettingTarget {
        @Override
        public String pattern() {
            return "global";
        }

        @Override
        public String prefix() {
            return "global";
        }
    }

    /**
     * A service.
     *
     * @param service the service
     */
    record Service(ServiceName service) implements SettingTarget {
        @Override
        public String pattern() {
            return "service/{service}";
        }

        @Override
        public String prefix() {
            return "service/" + service;
        }

        @Override
        public Optional<SettingTarget> parent() {
            return Optional.of(new Global());
        }
    }

    /**
     * A customer, across all services.
     *
     * @param customer the customer
     */
    record Customer(CustomerId customer) implements SettingTarget {
        @Override
        public String pattern() {
            return "customer/{customer}";
        }

        @Override
        public String prefix() {
            return "customer/" + customer;
        }

        @Override
        public Optional<SettingTarget> parent() {
            return Optional.of(new Global());
        }
    }

    /**
     * A customer of a particular service.
     *
     * @param service the service
     * @param customer the customer
     */
    record ServiceCustomer(ServiceName service, CustomerId customer) implements SettingTarget {
        @Override
        public String pattern() {
            return "service/{service}/customer/{customer}";
        }

        @Override
        public String prefix() {
            return "service/" + service + "/customer/" + customer;
        }

        @Override
        public Optional<SettingTarget> parent() {
            return Optional.of(new Service(service));
        }
    }

    /**
     * A model of an inference service.
     *
     * @param service the service
     * @param model the model
     */
    record Model(ServiceName service, ModelName model) implements SettingTarget {
        @Override
        public String pattern() {
            return "service/{service}/model/{model}";
        }

        @Override
        public String prefix() {
            return "service/" + service + "/model/" + model;
        }
    }

    /**
     * A failure domain.
     *
     * @param domain the failure domain
     */
    record Domain(FailureDomain domain) implements SettingTarget {
        @Override
        public String pattern() {
            return "domain/{domain}";
        }

        @Override
        public String prefix() {
            return "domain/" + domain;
        }
    }

    /**
     * An endpoint.
     *
     * @param endpoint the endpoint
     */
    record Endpoint(EndpointId endpoint) implements SettingTarget {
        @Override
        public String pattern() {
            return "endpoint/{endpoint}";
        }

        @Override
        public String prefix() {
            return "endpoint/" + endpoint;
        }
    }

    /** Parses the path of a target; empty if the path is not valid. */
    static Optional<SettingTarget> parse(String prefix) {
        List<String> parts = List.of(prefix.split("/", -1));
        if (!parts.stream().allMatch(p -> NAME.matcher(p).matches())) {
            return Optional.empty();
        }
        String kind = parts.getFirst();
        return switch (parts.size()) {
            case 1 -> kind.equals("global") ? Optional.of(new Global()) : Optional.empty();
            case 2 -> parseNamed(kind, parts.get(1));
            case 4 -> kind.equals("service") ? parseInService(parts) : Optional.empty();
            default -> Optional.empty();
        };
    }

    private static Optional<SettingTarget> parseNamed(String kind, String name) {
        return switch (kind) {
            case "service" -> Optional.of(new Service(ServiceName.of(name)));
            case "customer" -> Optional.of(new Customer(CustomerId.of(name)));
            case "domain" -> Optional.of(new Domain(FailureDomain.of(name)));
            case "endpoint" -> Optional.of(new Endpoint(EndpointId.of(name)));
            default -> Optional.empty();
        };
    }

    private static Optional<SettingTarget> parseInService(List<String> parts) {
        ServiceName service = ServiceName.of(parts.get(1));
        return switch (parts.get(2)) {
            case "customer" -> Optional.of(new ServiceCustomer(service, CustomerId.of(parts.get(3))));
            case "model" -> Optional.of(new Model(service, ModelName.of(parts.get(3))));
            default -> Optional.empty();
        };
    }
}
