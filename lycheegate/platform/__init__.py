"""Translation between the protocols of the users' platform and the types of the product.

The platform's wire names appear only in this package, which contains no scheduling decisions.
"""
