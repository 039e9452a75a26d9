"""The command line beside the gateway: tools for inventories and configurations."""
